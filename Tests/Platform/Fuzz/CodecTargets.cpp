#include "FuzzTargets.h"

#include <AnnouncementCodec.h>
#include <Base64.h>
#include <Compression.h>
#include <CrashCodec.h>
#include <NodeConfig.h>
#include <StoreCodec.h>

#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>

namespace Acaciavale::Fuzz {

namespace {

using namespace Platform;

constexpr std::size_t kMaximumTextBytes = 1U << 20;

constexpr char kSettings[] =
  R"({"version":3,"routes":[{"name":"once","host":"a.example",)"
  R"("path-prefix":"/once/","route-kind":"non_idempotent","timeout-ms":5000,)"
  R"("goal-ms":400,"priority":0,"service":"desk","max-attempts":3,)"
  R"("public":false,"gap-goal-ms":1500,"sizes":["small","large"]}],)"
  R"("services":[{"name":"desk","max-conns":100,"cold-start-s":3,)"
  R"("cold-per-s":2,"engine":{"slots":4,"kv-capacity":100000,)"
  R"("models":[{"name":"small","cost":0.01}]}}],)"
  R"("limits":{"max-header-bytes":8192,"max-body-bytes":65536},)"
  R"("tenants":[{"name":"first","api-keys":["key-1"],"priority":1}]})";
constexpr char kEndpoint[] =
  R"({"service":"desk","address":"127.0.0.1:80","zone":"zone-a",)"
  R"("version":"v1","slots":4,"state":"ready","cold-left-ms":5,)"
  R"("born":1700000000000,"seq-no":1})";
constexpr char kVm[] =
  R"({"callers":"127.0.0.1:80","peers":"127.0.0.1:81",)"
  R"("failure-domain":"zone-a","region":"region","link-mbps":1000})";
constexpr char kPage[] =
  R"({"as-of":5,"truncated":false,"entries":[{"key":"servers/a",)"
  R"("revision":1,"value":"eyJhIjoxfQ==","lease":2}]})";
constexpr char kCrashes[] =
  R"({"crashes":[["desk","i-1","v1",1000,[[true,[1]]]]],)"
  R"("sound":[[1,"desk","v1",1000]],"quarantine":[],"written-ms":1700000000000})";
constexpr char kQuarantine[] =
  R"({"pool":"desk","parts":[1,2],"versions":["v1"],"crashes":2,)"
  R"("age-ms":1000,"last-crash-ms":1700000000000})";
constexpr char kNodeSettings[] =
  "[node]\nname = vm-1\naddress = 127.0.0.1\nfailure-domain = a\nregion = r\n"
  "link-mbps = 1000.0\nmemory-mb = 110\nfirst-start = false\n[listen]\n"
  "callers = 127.0.0.1:80\n; comment\n[bounds]\nstop-s = 8\n";
constexpr char kTree[] =
  "[deployment]\nname = a\nsession-key = 00112233445566778899aabbccddeeff\n"
  "[model m]\n[version m/v1]\n[account a]\nkey = b\n[account a/b]\n"
  "inherits = a\n[cascade c]\nstages = m/v1\n[route r]\n";

TimePoint Now()
{
  return TimePoint(std::chrono::hours(1000));
}

const UnixMilliseconds kCalendarNow{ 1'700'000'100'000 };

FuzzTarget Target(std::string aName,
                  std::vector<std::string> aSeeds,
                  std::function<void(const std::string&)> aRun)
{
  return { std::move(aName),
           std::move(aSeeds),
           [run = std::move(aRun)](std::string_view aInput, std::uint64_t) {
             run(std::string(aInput));
           } };
}

/// Decodes the input, and what it says once more from its own encoding.
template<typename Decode, typename Encode>
void RoundTrip(const std::string& aInput, Decode aDecode, Encode aEncode)
{
  const auto decoded = aDecode(aInput);
  if (!decoded) {
    return;
  }
  const std::string text = aEncode(*decoded);
  if (!aDecode(text)) {
    throw std::logic_error("an encoded value cannot be decoded: " + text);
  }
}

std::vector<FuzzTarget> StoreTargets()
{
  return {
    Target("store-page",
           { kPage },
           [](const auto& aText) {
             DecodeStorePage(aText);
             DecodeLease(aText);
             DecodeEra(aText);
           }),
    Target("settings", { kSettings }, DecodeSettings),
    Target("endpoint",
           { kEndpoint },
           [](const auto& aText) { DecodeEndpoint("i-1", aText); }),
    Target("vm",
           { kVm },
           [](const auto& aText) {
             RoundTrip(
               aText,
               [](const std::string& aVm) { return DecodeVm("vm-1", aVm); },
               EncodeVm);
           }),
    Target("rollout",
           { R"({"service":"desk","target":"v2","duration-s":20})",
             R"({"order":2,"stage":1,"begun-ms":1700000000000})",
             R"({"order":2,"old":[1,0,1,1,1],"new":[1,0,1,1,1]})" },
           [](const auto& aText) {
             DecodeRolloutOrder({ "op/rollout/desk", aText, 2 });
             DecodeTrafficShift(aText);
             DecodeEvidence(aText);
           }),
    Target("crashes",
           { kCrashes, kQuarantine },
           [](const auto& aText) {
             DecodeRecentCrashes(aText, Now(), kCalendarNow);
             DecodeQuarantine(aText, Now(), kCalendarNow);
           }),
  };
}

std::vector<FuzzTarget> MessageTargets()
{
  SnapshotQuery query;
  query.mVmName = "vm-1";
  query.mEvidenceByPool["desk"] = "{}";
  query.mLoads.push_back({ "i-1", { 1, 2, 3 }, std::chrono::seconds(1) });
  query.mAccountWork = { { "desk", "a", 1.5 } };
  SnapshotAnswer answer;
  answer.mAccountWork = query.mAccountWork;
  answer.mEntries.push_back({ "servers/a", kEndpoint, 3 });
  answer.mRemovedKeys.push_back("servers/b");
  answer.mDigest = "digest";
  Relay::AnnouncementReport report;
  return {
    Target("snapshot-query",
           { EncodeSnapshotQuery(query) },
           [](const auto& aText) {
             RoundTrip(aText, DecodeSnapshotQuery, EncodeSnapshotQuery);
           }),
    Target("snapshot-answer",
           { EncodeSnapshotAnswer(answer) },
           [](const auto& aText) {
             RoundTrip(aText, DecodeSnapshotAnswer, EncodeSnapshotAnswer);
           }),
    Target("announcements",
           { EncodeAnnouncements({ report }, Now()) },
           [](const auto& aText) { DecodeAnnouncements(aText, Now()); }),
    Target("crash-report",
           { kCrashes },
           [](const auto& aText) { DecodeCrashReport(aText, Now()); }),
    Target("compressed",
           { Compress(kSettings) },
           [](const auto& aText) { Decompress(aText, kMaximumTextBytes); }),
    Target("base64", { EncodeBase64(kVm) }, DecodeBase64),
  };
}

} // namespace

std::vector<FuzzTarget> CodecTargets()
{
  std::vector<FuzzTarget> targets = StoreTargets();
  for (FuzzTarget& target : MessageTargets()) {
    targets.push_back(std::move(target));
  }
  targets.push_back(
    Target("node-settings", { kNodeSettings }, [](const auto& aText) {
      ParseNodeConfig("node.ini", aText);
    }));
  targets.push_back(Target("settings-tree", { kTree }, [](const auto& aText) {
    ParseSettings({ { "settings.ini", aText } });
    ParseRecord(aText);
    ParseRoot(aText);
  }));
  return targets;
}

} // namespace Acaciavale::Fuzz
