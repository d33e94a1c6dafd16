#include <Acaciavale/LibCore/Random.h>
#include <AnnouncementCodec.h>
#include <Base64.h>
#include <Compression.h>
#include <CrashCodec.h>
#include <JsonText.h>
#include <StoreCodec.h>
#include <StoreSnapshot.h>

#include <CppUTest/TestHarness.h>
#include <array>
#include <functional>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Relay;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kMutationsPerText = 400;

/// Tokens that a mutation inserts, or puts in place of another.
constexpr std::array<const char*, 22> kTokens{ "-1",
                                               "0",
                                               "0.5",
                                               "1e18",
                                               "1e300",
                                               "1e999",
                                               "-1e300",
                                               "2147483647",
                                               "2147483648",
                                               "9223372036854775807",
                                               "9223372036854775808",
                                               "18446744073709551615",
                                               "99999999999999999999999999",
                                               "-9223372036854775808",
                                               "null",
                                               "true",
                                               "[]",
                                               "{}",
                                               "\"\"",
                                               "NaN",
                                               "\xff",
                                               "[[[[[[[[" };

bool IsNumberCharacter(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '-';
}

/// Returns the text with one change at a random place.
std::string Mutated(std::string aText, Random& aRandom)
{
  const std::size_t at = aRandom.Below(aText.size());
  const std::string token = kTokens.at(aRandom.Below(kTokens.size()));
  switch (aRandom.Below(5)) {
    case 0:
      aText[at] = static_cast<char>(aRandom.Below(256));
      break;
    case 1:
      aText.erase(at, 1 + aRandom.Below(8));
      break;
    case 2:
      aText.insert(at, aText.substr(at, 1 + aRandom.Below(16)));
      break;
    case 3:
      aText.insert(at, token);
      break;
    default: {
      // The first number from the place on.
      std::size_t begin = at;
      while (begin < aText.size() && !IsNumberCharacter(aText[begin])) {
        ++begin;
      }
      std::size_t end = begin;
      while (end < aText.size() && IsNumberCharacter(aText[end])) {
        ++end;
      }
      aText.replace(begin, end - begin, token);
    }
  }
  return aText;
}

const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr UnixMilliseconds kCalendarNow{ 1'800'000'000'000 };

/// A valid text, and code that decodes such a text and uses the result.
struct DecoderCase
{
  std::string mText;
  std::function<bool(const std::string&)> mDecode; ///< Whether it is valid.
};

std::vector<StoreEntry> Entries()
{
  return { { "servers/i-1",
             R"({"service":"desk","address":"127.0.0.1:80","zone":"a",)"
             R"("version":"v1","slots":4,"state":"ready","born":17,)"
             R"("cold-left-ms":200})",
             5 } };
}

SnapshotAnswer Answer()
{
  StoreSnapshot snapshot;
  snapshot.Replace(Entries(), 7, 1);
  SnapshotAnswer answer = snapshot.ChangesSince(0, 0);
  answer.mAge = std::chrono::milliseconds(30);
  answer.mLoads = { { "i-1", { 3, 1, 8 }, std::chrono::milliseconds(40) } };
  answer.mAccountWork = { { "desk", "a", 1.5 }, { "desk", "b", 0.2 } };
  return answer;
}

CrashReport Crashes()
{
  CrashReport report;
  report.mEvidence.mCrashes["i-1"] = {
    "desk", "i-1", "v1", kNow - std::chrono::seconds(1), { { { 1, 2 }, true } }
  };
  report.mEvidence.mSoundAt[{ 3, "desk", "v1" }] =
    kNow - std::chrono::seconds(2);
  QuarantinedPrompt prompt;
  prompt.mPool = "desk";
  prompt.mParts = { 1, 2 };
  prompt.mVersions = { "v1" };
  prompt.mCrashes = 2;
  prompt.mLastCrashAt = kNow - std::chrono::seconds(1);
  report.mQuarantine = { prompt };
  return report;
}

DecoderCase SettingsCase()
{
  return {
    R"({"version":3,"routes":[{"name":"a","host":"a","path-prefix":"/",)"
    R"("route-kind":"streaming","timeout-ms":500,"goal-ms":20,"priority":1,)"
    R"("max-attempts":2,"sizes":["s"],"split":[{"service":"desk",)"
    R"("weight":0.5}]}],"services":[{"name":"desk","max-conns":9,)"
    R"("engine":{"kv-capacity":7,"models":[{"name":"s","cost":1}]}}],)"
    R"("limits":{"max-header-bytes":8192,"idle-timeout-ms":4000},)"
    R"("tenants":[{"name":"t","api-keys":["k"],"priority":0}]})",
    [](const std::string& aText) {
      const auto settings = DecodeSettings(aText);
      if (settings) {
        for (const Route& route : settings->mRoutes) {
          CHECK(kNow + route.mTimeout >= kNow);
        }
      }
      return settings.has_value();
    }
  };
}

std::vector<DecoderCase> StoreCases()
{
  return {
    SettingsCase(),
    { Entries().front().mValue,
      [](const std::string& aText) {
        EndpointRegistry registry;
        const auto record = DecodeEndpoint("i-1", aText);
        if (record) {
          registry.Replace({ *record }, kNow);
          CHECK(record->mSlots > 0);
        }
        return record.has_value();
      } },
    { EncodeVm({ "a", "127.0.0.1:1", "127.0.0.1:2", "z", "r", 100 }),
      [](const std::string& aText) {
        const auto vm = DecodeVm("a", aText);
        return vm && !EncodeVm(*vm).empty();
      } },
    { R"({"service":"desk","target":"v2","duration-s":20.5})",
      [](const std::string& aText) {
        const auto order = DecodeRolloutOrder({ "op/rollout/desk", aText, 5 });
        if (order) {
          (void)WithShares({ *order, TrafficShiftStage::Probe, 0, 0 },
                           std::chrono::seconds(3));
        }
        return order.has_value();
      } },
    { EncodeTrafficShift({ 5, TrafficShiftStage::Shift, 1'800'000'000'000 }),
      [](const std::string& aText) {
        const auto shift = DecodeTrafficShift(aText);
        if (shift) {
          const Duration elapsed =
            kCalendarNow - UnixMilliseconds(shift->mStartedAtUnixMs);
          CHECK(elapsed < std::chrono::hours(24 * 365 * 100));
        }
        return shift.has_value();
      } },
    { EncodeEvidence(5, { { 10, 1, 2, 10, 9 }, { 5, 1, 2, 5, 4 } }),
      [](const std::string& aText) {
        const auto evidence = DecodeEvidence(aText);
        if (evidence) {
          const auto sum = evidence->second + evidence->second;
          CHECK(DecodeEvidence(EncodeEvidence(5, sum)).has_value());
        }
        return evidence.has_value();
      } },
    { R"({"as-of":7,"truncated":false,"entries":[{"key":"servers/i-1",)"
      R"("value":"e30=","revision":5}]})",
      [](const std::string& aText) {
        const auto page = DecodeStorePage(aText);
        if (page) {
          StoreSnapshot snapshot;
          snapshot.Replace(page->mEntries, page->mStoreRevision, 1);
          const auto answer = EncodeSnapshotAnswer(snapshot.ChangesSince(0, 0));
          CHECK(DecodeSnapshotAnswer(answer).has_value());
        }
        return page.has_value();
      } },
    { R"({"lease":5})",
      [](const std::string& aText) { return DecodeLease(aText).has_value(); } }
  };
}

std::vector<DecoderCase> VmCases()
{
  SnapshotQuery query;
  query.mVmName = "a";
  query.mStoreRevision = 7;
  query.mEvidenceByPool["desk"] = EncodeEvidence(5, {});
  query.mLoads = Answer().mLoads;
  query.mAccountWork = Answer().mAccountWork;
  AnnouncementReport announcement;
  announcement.mLifetime = { "i-1", 17, "127.0.0.1:80" };
  announcement.mLimit = { 20, kNow - std::chrono::seconds(1), false };
  return { { EncodeSnapshotQuery(query),
             [](const std::string& aText) {
               const auto decoded = DecodeSnapshotQuery(aText);
               return decoded && !EncodeSnapshotQuery(*decoded).empty();
             } },
           { EncodeSnapshotAnswer(Answer()),
             [](const std::string& aText) {
               const auto answer = DecodeSnapshotAnswer(aText);
               if (answer) {
                 StoreSnapshot snapshot;
                 (void)snapshot.Apply(*answer);
                 EndpointRegistry registry;
                 EndpointRecord record;
                 record.mId = "i-1";
                 registry.Replace({ record }, kNow);
                 registry.ApplyLoadReports(answer->mLoads, kNow);
                 for (const LoadReport& report : answer->mLoads) {
                   CHECK(report.mAge >= Duration{});
                   CHECK(report.mLoad.mRunning + report.mLoad.mWaiting >= 0);
                 }
                 CHECK(kNow - answer->mAge - answer->mSettingsAge <= kNow);
                 CHECK(!EncodeSnapshotAnswer(*answer).empty());
               }
               return answer.has_value();
             } },
           { EncodeAnnouncements({ announcement }, kNow),
             [](const std::string& aText) {
               const auto reports = DecodeAnnouncements(aText, kNow);
               if (reports) {
                 (void)DigestOf(*reports);
                 (void)EncodeAnnouncements(*reports, kNow);
               }
               return reports.has_value();
             } },
           { EncodeCrashReport(Crashes(), kNow),
             [](const std::string& aText) {
               const auto report = DecodeCrashReport(aText, kNow);
               if (report) {
                 (void)EncodeCrashReport(*report, kNow);
               }
               return report.has_value();
             } },
           { EncodeRecentCrashes(Crashes(), kNow, kCalendarNow),
             [](const std::string& aText) {
               const auto report =
                 DecodeRecentCrashes(aText, kNow, kCalendarNow);
               if (report) {
                 (void)EncodeRecentCrashes(*report, kNow, kCalendarNow);
               }
               return report.has_value();
             } },
           { EncodeQuarantine(
               Crashes().mQuarantine[0], "a", kNow, kCalendarNow),
             [](const std::string& aText) {
               const auto prompt = DecodeQuarantine(aText, kNow, kCalendarNow);
               if (prompt) {
                 (void)EncodeQuarantine(*prompt, "a", kNow, kCalendarNow);
               }
               return prompt.has_value();
             } },
           { EncodeBase64("some bytes"),
             [](const std::string& aText) {
               return DecodeBase64(aText).has_value();
             } },
           { Compress(std::string(300, 'x')), [](const std::string& aText) {
              return Decompress(aText, 1000).has_value();
            } } };
}

void CheckMutations(const std::vector<DecoderCase>& aCases)
{
  Random random(kSeed);
  for (const DecoderCase& decoder : aCases) {
    CHECK_TEXT(decoder.mDecode(decoder.mText), decoder.mText.c_str());
    for (int mutation = 0; mutation < kMutationsPerText; ++mutation) {
      std::string text = Mutated(decoder.mText, random);
      (void)decoder.mDecode(text);
      if (!text.empty()) {
        text = Mutated(std::move(text), random);
        (void)decoder.mDecode(text);
      }
    }
  }
}

} // namespace

/// Decoders of texts from outside: whatever the text is, they return an error
/// or values that can be used.
TEST_GROUP(Decoders){};

TEST(Decoders, BearMutatedEntriesOfTheStore)
{
  CheckMutations(StoreCases());
}

TEST(Decoders, BearMutatedTextsOfOtherVms)
{
  CheckMutations(VmCases());
}

TEST(Decoders, BearDeepNesting)
{
  constexpr std::size_t kDeep = 100'000;
  const std::string deep = std::string(kDeep, '[') + std::string(kDeep, ']');
  for (const auto& cases : { StoreCases(), VmCases() }) {
    for (const DecoderCase& decoder : cases) {
      CHECK(!decoder.mDecode(deep));
      CHECK(!decoder.mDecode(R"({"limits":)" + deep + "}"));
    }
  }
  CHECK(DecodeJson(R"({"text":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[["})",
                   [](const Json&) { return true; })
          .has_value());
}

TEST(Decoders, CheckTheRangesOfWholeNumbers)
{
  const auto isSlots = [](const std::string& aNumber) {
    const std::string entry =
      R"({"service":"desk","address":"127.0.0.1:80","zone":"a",)"
      R"("version":"v1","state":"ready","slots":)" +
      aNumber + "}";
    return DecodeEndpoint("i-1", entry).has_value();
  };
  for (const char* const valid : { "1", "4", "4.0", "1000000" }) {
    CHECK_TEXT(isSlots(valid), valid);
  }
  for (const char* const odd : { "0",
                                 "-5",
                                 "2147483647",
                                 "4294967300",
                                 "4.5",
                                 "1e300",
                                 "true",
                                 "\"4\"",
                                 "null",
                                 "18446744073709551615" }) {
    CHECK_TEXT(!isSlots(odd), odd);
  }
}

TEST(Decoders, ClampTimes)
{
  const auto coldFor = [](const std::string& aNumber) {
    const std::string entry =
      R"({"service":"desk","address":"127.0.0.1:80","zone":"a",)"
      R"("version":"v1","state":"ready","slots":4,"cold-left-ms":)" +
      aNumber + "}";
    return DecodeEndpoint("i-1", entry)->mColdFor;
  };
  CHECK(coldFor("1e300") == kMaximumColdTime);
  CHECK(coldFor("-1e300") == Duration{});
  CHECK(coldFor("0.5") == std::chrono::microseconds(500));
  CHECK(TimeOfAge(Json(1e300), kNow) == kNow - kMaximumStatedTime);
  CHECK(TimeOfAge(Json(-5), kNow) == kNow);
}

TEST(Decoders, RefuseNamesThatNoHeaderCanCarry)
{
  const std::string entry = Entries().front().mValue;
  CHECK(DecodeEndpoint("i-1", entry).has_value());
  for (const char* const name : { "", "a b", "a\r\nX: y", "\xff" }) {
    CHECK_TEXT(!DecodeEndpoint(name, entry).has_value(), name);
  }
}

TEST(Decoders, RefuseBase64OfPaddingAlone)
{
  CHECK(!DecodeBase64("====").has_value());
  CHECK_EQUAL(std::string("{}"), *DecodeBase64("e30="));
  CHECK(DecodeBase64("")->empty());
}

/// A key of another writer may hold anything; its page holds the keys of all.
TEST(Decoders, KeepThePageOfAKeyThatIsNoText)
{
  for (const std::string& odd : std::vector<std::string>

       { "\xff", "\\ud800", "\\udc00\\ud800", "\xed\xa0\x80", "\xf0\x9f" }) {
    const auto page = DecodeStorePage(
      R"({"as-of":7,"entries":[{"key":"servers/)" + odd +
      R"(","value":"","revision":5},{"key":"servers/\u00e4\ud83d\ude00",)"
      R"("value":"e30=","revision":6}]})");
    CHECK_TEXT(page.has_value(), odd.c_str());
    UNSIGNED_LONGS_EQUAL(2, page->mEntries.size());
    CHECK_EQUAL(std::string("servers/\xc3\xa4\xf0\x9f\x98\x80"),
                page->mEntries[1].mKey);
    CHECK(!DecodeEndpoint(KeySuffix(page->mEntries[0], kEndpointPrefix),
                          Entries().front().mValue)
             .has_value());
  }
}
