#include "ExampleSettings.h"

#include <Acaciavale/LibSettings/FleetStatus.h>
#include <Acaciavale/LibSettings/SettingsHolder.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <LibPlatform/FakeKeyValueStore.h>
#include <map>
#include <rapidcheck.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

ApplyRequest MakeRequest(std::int64_t aBaseGeneration,
                         const std::string& aNonce)
{
  ApplyRequest request;
  request.mFiles = Files(ExampleText());
  request.mAuthor = "ana";
  request.mReason = "test of " + aNonce;
  request.mBaseGeneration = aBaseGeneration;
  request.mNonce = aNonce;
  return request;
}

/// Builds a record with valid digests, as a writer does.
StoredSettings MakeRecord(std::int64_t aGeneration, const std::string& aText)
{
  StoredSettings stored;
  stored.mFiles = Files(aText);
  stored.mRoot.mGeneration = aGeneration;
  stored.mRoot.mDigest = ComputeFilesDigest(stored.mFiles);
  stored.mRoot.mChainDigest = ComputeChainDigest(stored.mRoot);
  return stored;
}

/// Returns the store with another operator's apply run just before the first
/// write of the root, or just after it if the response to that write is lost.
KeyValueStore WithRivalApply(const KeyValueStore& aStore,
                             bool& aHasRun,
                             bool aLosesResponse)
{
  KeyValueStore wrapped = aStore;
  wrapped.mCompareAndSwap =
    [aStore, &aHasRun, aLosesResponse](
      const CompareAndSwap& aWrite) -> ErrorOr<std::int64_t> {
    if (aWrite.mKey != kSettingsRootKey || aHasRun) {
      return aStore.mCompareAndSwap(aWrite);
    }
    aHasRun = true;
    if (!aLosesResponse) {
      CHECK(ApplySettings(aStore, MakeRequest(1, "rival")).has_value());
      return aStore.mCompareAndSwap(aWrite);
    }
    CHECK(aStore.mCompareAndSwap(aWrite).has_value());
    CHECK(ApplySettings(aStore, MakeRequest(2, "rival")).has_value());
    return MakeError(ErrorCode::OutcomeUnknown, "lost");
  };
  return wrapped;
}

/// The results of one operator's applies, by nonce.
using ApplyResults = std::map<std::string, ErrorOr<SettingsRoot>>;

/// Applies settings 20 times, each time to the generation then in force.
ApplyResults RunOperator(const KeyValueStore& aStore, const std::string& aName)
{
  ApplyResults results;
  for (int attempt = 0; attempt < 20; ++attempt) {
    const auto root = FetchRoot(aStore);
    if (root) {
      const std::string nonce = aName + std::to_string(attempt);
      results.emplace(
        nonce, ApplySettings(aStore, MakeRequest(root->mGeneration, nonce)));
    }
  }
  return results;
}

/// Returns the generation of each nonce in the history.
std::map<std::string, std::int64_t> GenerationsByNonce(
  const KeyValueStore& aStore)
{
  std::map<std::string, std::int64_t> generations;
  const auto history = FetchHistory(aStore).value();
  CHECK(VerifyHistory(history).empty());
  for (const SettingsRoot& root : history) {
    CHECK(generations.insert({ root.mNonce, root.mGeneration }).second);
  }
  return generations;
}

/// Returns whether the history agrees with the result of an apply.
bool MatchesHistory(const std::map<std::string, std::int64_t>& aGenerations,
                    const std::string& aNonce,
                    const ErrorOr<SettingsRoot>& aResult)
{
  const auto found = aGenerations.find(aNonce);
  if (aResult) {
    return found != aGenerations.end() && found->second == aResult->mGeneration;
  }
  return aResult.error().mCode == ErrorCode::OutcomeUnknown ||
         found == aGenerations.end();
}

} // namespace

TEST_GROUP(Store)
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore = mFake.Store();
};

TEST(Store, AppliedSettingsAreFetchedAndKeptInHistory)
{
  CHECK(FetchLatest(mStore).error().mCode == ErrorCode::NotFound);
  for (std::int64_t baseGeneration = 0; baseGeneration < 3; ++baseGeneration) {
    const auto root = ApplySettings(
      mStore, MakeRequest(baseGeneration, std::to_string(baseGeneration)));
    LONGS_EQUAL(baseGeneration + 1, root.value().mGeneration);
  }
  CHECK(FetchLatest(mStore).value().mFiles == Files(ExampleText()));
  const auto history = FetchHistory(mStore).value();
  LONGS_EQUAL(3, history.size());
  CHECK(VerifyHistory(history).empty());
  LONGS_EQUAL(2, FetchGeneration(mStore, 2).value().mRoot.mGeneration);
  CHECK(FetchGeneration(mStore, 9).error().mCode == ErrorCode::NotFound);
}

TEST(Store, VerifyDetectsAlteredAndRemovedRoots)
{
  for (std::int64_t baseGeneration = 0; baseGeneration < 4; ++baseGeneration) {
    CHECK(ApplySettings(
            mStore, MakeRequest(baseGeneration, std::to_string(baseGeneration)))
            .has_value());
  }
  const auto history = FetchHistory(mStore).value();
  auto altered = history;
  altered[1].mReason = "another reason";
  CHECK(!VerifyHistory(altered).empty());
  altered[1].mChainDigest = ComputeChainDigest(altered[1]);
  CHECK(!VerifyHistory(altered).empty());
  auto shortened = history;
  shortened.erase(shortened.begin() + 2);
  CHECK(!VerifyHistory(shortened).empty());
}

TEST(Store, SecondOfTwoConcurrentAppliesConflicts)
{
  CHECK(ApplySettings(mStore, MakeRequest(0, "first")).has_value());
  bool hasRun = false;
  const auto conflict = ApplySettings(WithRivalApply(mStore, hasRun, false),
                                      MakeRequest(1, "mine"));
  CHECK(conflict.error().mCode == ErrorCode::Conflict);
  STRCMP_EQUAL("rival", FetchRoot(mStore).value().mNonce.c_str());
}

TEST(Store, LostResponseIsResolvedAfterTheRootWasSuperseded)
{
  CHECK(ApplySettings(mStore, MakeRequest(0, "first")).has_value());
  bool hasRun = false;
  const auto applied =
    ApplySettings(WithRivalApply(mStore, hasRun, true), MakeRequest(1, "mine"));
  LONGS_EQUAL(2, applied.value().mGeneration);
  LONGS_EQUAL(3, FetchRoot(mStore).value().mGeneration);
}

TEST(Store, ApplyResultMatchesTheStoreUnderFaults)
{
  const bool holds = rc::check([] {
    FakeKeyValueStore fake;
    const KeyValueStore store = fake.Store();
    RC_ASSERT(ApplySettings(store, MakeRequest(0, "first")).has_value());
    FakeStoreFaults faults;
    faults.mFailWrites = *rc::gen::inRange(0, 5);
    faults.mLoseAnswers = *rc::gen::inRange(0, 5);
    faults.mLoseRequests = *rc::gen::inRange(0, 5);
    faults.mFailReads = *rc::gen::inRange(0, 3);
    fake.SetFaults(faults);
    const auto applied = ApplySettings(store, MakeRequest(1, "mine"));
    fake.SetFaults({});
    const bool inForce = FetchRoot(store).value().mNonce == "mine";
    if (applied) {
      RC_ASSERT(inForce);
    } else if (applied.error().mCode != ErrorCode::OutcomeUnknown) {
      RC_ASSERT(!inForce);
    }
  });
  CHECK(holds);
}

TEST(Store, BodyAboveChunkSizeIsSplit)
{
  ApplyRequest request = MakeRequest(0, "large");
  for (const char* name : { "b.ini", "c.ini" }) {
    request.mFiles.push_back({ name, "; " });
    for (int line = 0; line < 10'000; ++line) {
      request.mFiles.back().mText += std::string(80, 'x') + "\n; ";
    }
  }
  LONGS_EQUAL(2, ApplySettings(mStore, request).value().mChunkCount);
  CHECK(FetchLatest(mStore).value().mFiles == request.mFiles);
}

TEST(Store, SettingsWithFindingsOrInvalidReasonAreNotApplied)
{
  ApplyRequest request = MakeRequest(0, "a");
  request.mReason = " ";
  CHECK(ApplySettings(mStore, request).error().mCode == ErrorCode::Invalid);
  request.mReason = "fine\n2  2026-12-04  forged";
  CHECK(ApplySettings(mStore, request).error().mCode == ErrorCode::Invalid);
  request = MakeRequest(0, "b");
  request.mFiles[0].mText += "burst = many\n";
  CHECK(ApplySettings(mStore, request).error().mCode == ErrorCode::Invalid);
  LONGS_EQUAL(0, mFake.Counts().mWrites);
}

TEST(Store, HolderAcceptsOnlyValidNewerGenerations)
{
  SettingsHolder holder;
  CHECK(holder.Current() == nullptr);
  const StoredSettings third = MakeRecord(3, ExampleText());
  CHECK(holder.Offer(3, SerialiseRecord(third)).value());
  CHECK(!holder.Offer(MakeRecord(2, ExampleText())).value());
  CHECK(!holder.Offer(third).value());
  LONGS_EQUAL(3, holder.Current()->mGeneration);
  CHECK(holder.Record(2).empty());
  CHECK(ParseRecord(holder.Record(3)).value() == third);

  StoredSettings forged = MakeRecord(4, ExampleText());
  forged.mFiles[0].mText += "; altered\n";
  CHECK(holder.Offer(forged).error().mCode == ErrorCode::Invalid);
  CHECK(holder.Offer(5, SerialiseRecord(third)).error().mCode ==
        ErrorCode::Invalid);
  CHECK(holder.Offer(9, "{").error().mCode == ErrorCode::Invalid);
  CHECK(
    holder.Offer(MakeRecord(3, ExampleText() + "; other\n")).error().mCode ==
    ErrorCode::Conflict);
  CHECK(holder.Offer(MakeRecord(4, "[deployment]\n")).error().mCode ==
        ErrorCode::Invalid);
  LONGS_EQUAL(3, holder.Generation());
}

TEST(Store, FleetStatusListsOutdatedVms)
{
  CHECK(ApplySettings(mStore, MakeRequest(0, "first")).has_value());
  for (const auto& [name, record] :
       { std::pair{ "vms/a", R"({"settings_generation": 1})" },
         std::pair{ "vms/b", R"({"settings_generation": 0})" },
         std::pair{ "vms/c", "not JSON" } }) {
    CHECK(mStore.mCompareAndSwap({ name, record, 0, 0 }).has_value());
  }
  const auto status = FetchFleetStatus(mStore).value();
  CHECK(OutdatedVms(status) == (std::vector<std::string>{ "b", "c" }));
  STRCMP_CONTAINS("1 of 3 VMs have generation 1", StatusText(status).c_str());
  STRCMP_CONTAINS("\"behind\"", StatusJson(status).c_str());
}

TEST(Store, ApplyTakesOneReadAndThreeWrites)
{
  CHECK(ApplySettings(mStore, MakeRequest(0, "first")).has_value());
  const FakeStoreCounts before = mFake.Counts();
  ApplyRequest request = MakeRequest(1, "second");
  request.mFiles[0].mText += "; another body\n";
  CHECK(ApplySettings(mStore, request).has_value());
  LONGS_EQUAL(1, mFake.Counts().mReads - before.mReads);
  LONGS_EQUAL(3, mFake.Counts().mWrites - before.mWrites);
}

TEST(Store, ResultsOfConcurrentAppliesMatchTheHistory)
{
  CHECK(ApplySettings(mStore, MakeRequest(0, "first")).has_value());
  FakeStoreFaults faults;
  faults.mLoseAnswers = 15;
  faults.mLoseRequests = 15;
  faults.mFailWrites = 10;
  faults.mFailReads = 10;
  mFake.SetFaults(faults);
  std::vector<ApplyResults> results(4);
  std::vector<std::thread> operators;
  operators.reserve(results.size());
  for (std::size_t name = 0; name < results.size(); ++name) {
    operators.emplace_back([this, &results, name] {
      results[name] = RunOperator(mStore, std::to_string(name) + "-");
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  mFake.SetFaults({});
  const auto generations = GenerationsByNonce(mStore);
  for (const ApplyResults& operatorResults : results) {
    for (const auto& [nonce, result] : operatorResults) {
      CHECK_TEXT(MatchesHistory(generations, nonce, result), nonce.c_str());
    }
  }
}
