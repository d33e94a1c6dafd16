#include "KeyValueService.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

namespace {

using nlohmann::json;

constexpr const char* kFaultTarget = "key-value";
constexpr std::size_t kMaxValueBytes = 1 << 20;

json ToJson(const KeyValueEntry& aEntry)
{
  return { { "key", aEntry.mKey },
           { "value", aEntry.mValue },
           { "revision", aEntry.mRevision } };
}

} // namespace

KeyValueService::KeyValueService(FaultInjector& aFaults)
  : mFaults(aFaults)
{
}

Task KeyValueService::Serve(Exchange& aExchange)
{
  const TargetFaults faults = mFaults.FaultsFor(kFaultTarget);
  if (faults.mDelay > Duration::zero()) {
    co_await aExchange.Sleep(faults.mDelay);
  }
  if (mFaults.IsDown(kFaultTarget)) {
    aExchange.Abort();
    co_return;
  }
  if (aExchange.IncomingRequest().mPath == "/v1/watch") {
    co_await Watch(aExchange);
    co_return;
  }
  const Response response = HandleCall(aExchange.IncomingRequest());
  if (response.mHistoryNumber != 0 && mFaults.Chance(faults.mLostAnswerShare)) {
    {
      const std::lock_guard lock(mMutex);
      mHistory[response.mHistoryNumber - 1].mAnswerLost = true;
    }
    aExchange.Abort();
    co_return;
  }
  co_await aExchange.Reply(response.mStatus, response.mBody);
}

Task KeyValueService::Watch(Exchange& aExchange)
{
  const auto& query = aExchange.IncomingRequest().mQuery;
  const std::string prefix = ValueOr(query, "prefix", "");
  const std::int64_t after = std::stoll(ValueOr(query, "after", "0"));
  const Milliseconds wait(std::stoll(ValueOr(query, "wait_ms", "0")));
  const TimePoint end = MonotonicNow() + wait;
  std::string body;
  bool changed = false;
  {
    const std::lock_guard lock(mMutex);
    ++mCallCounts.mWatches;
    mWatchers.insert(&aExchange);
  }
  do {
    {
      const std::lock_guard lock(mMutex);
      const std::vector<KeyValueEntry> entries = ListEntries(prefix, after);
      changed = !entries.empty();
      body = EntriesBody(entries);
    }
    if (!changed) {
      co_await aExchange.WaitForWake(end - MonotonicNow());
    }
  } while (!changed && !aExchange.IsClientDisconnected() &&
           MonotonicNow() < end && !mFaults.IsDown(kFaultTarget));
  {
    const std::lock_guard lock(mMutex);
    mWatchers.erase(&aExchange);
  }
  if (mFaults.IsDown(kFaultTarget)) {
    aExchange.Abort();
    co_return;
  }
  co_await aExchange.Reply(200, body);
}

KeyValueService::Response KeyValueService::HandleCall(const Request& aRequest)
{
  const std::lock_guard lock(mMutex);
  if (aRequest.mPath == "/v1/kv") {
    return HandleKeyCall(aRequest);
  }
  if (aRequest.mPath.starts_with("/v1/leases")) {
    ++mCallCounts.mLeaseCalls;
    return HandleLeaseCall(aRequest);
  }
  return { 404, "{}" };
}

KeyValueService::Response KeyValueService::HandleKeyCall(
  const Request& aRequest)
{
  if (aRequest.mMethod == "GET") {
    ++mCallCounts.mReads;
    return aRequest.mQuery.contains("key") ? Read(aRequest.mQuery.at("key"))
                                           : List(aRequest.mQuery.at("prefix"));
  }
  ++mCallCounts.mWrites;
  if (aRequest.mMethod == "POST") {
    return Write(aRequest.mBody);
  }
  return Remove(aRequest.mQuery.at("key"),
                std::stoll(aRequest.mQuery.at("expected_revision")));
}

KeyValueService::Response KeyValueService::HandleLeaseCall(
  const Request& aRequest)
{
  if (aRequest.mPath == "/v1/leases/keep") {
    return RenewLease(aRequest.mBody);
  }
  if (aRequest.mMethod == "POST") {
    return GrantLease(aRequest.mBody);
  }
  EndLease(std::stoll(aRequest.mQuery.at("lease")));
  return { 200, "{}" };
}

KeyValueService::Response KeyValueService::Read(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return { 404, "{}" };
  }
  return { 200, ToJson(found->second.mEntry).dump() };
}

KeyValueService::Response KeyValueService::List(
  const std::string& aPrefix) const
{
  return { 200, EntriesBody(ListEntries(aPrefix, 0)) };
}

KeyValueService::Response KeyValueService::Write(const std::string& aBody)
{
  const json body = json::parse(aBody);
  const std::string key = body.at("key").get<std::string>();
  const std::string value = body.at("value").get<std::string>();
  const std::int64_t lease = body.value("lease", std::int64_t{ 0 });
  const std::int64_t current = RevisionOf(key);
  if (value.size() > kMaxValueBytes) {
    return { 413, "{}" };
  }
  if (body.value("expected_revision", std::int64_t{ 0 }) != current) {
    return { 409, json{ { "revision", current } }.dump() };
  }
  if (lease != 0 && !mLeases.contains(lease)) {
    return { 409, json{ { "revision", current }, { "lapsed", true } }.dump() };
  }
  const std::int64_t revision = ++mRevision;
  mEntries[key] = { { key, value, revision }, lease };
  Record({ key, value, revision }, "put");
  return { 200, json{ { "revision", revision } }.dump(), mHistory.size() };
}

KeyValueService::Response KeyValueService::Remove(
  const std::string& aKey,
  std::int64_t aExpectedRevision)
{
  const std::int64_t current = RevisionOf(aKey);
  if (aExpectedRevision != current || current == 0) {
    return { 409, json{ { "revision", current } }.dump() };
  }
  mEntries.erase(aKey);
  Record({ aKey, "", ++mRevision }, "remove");
  return { 200, json{ { "revision", mRevision } }.dump(), mHistory.size() };
}

KeyValueService::Response KeyValueService::GrantLease(const std::string& aBody)
{
  const Milliseconds timeToLive(
    json::parse(aBody).at("ttl_ms").get<std::int64_t>());
  const std::int64_t lease = ++mLastLeaseId;
  mLeases[lease] = { timeToLive, MonotonicNow() + timeToLive };
  return { 200, json{ { "lease", lease } }.dump() };
}

KeyValueService::Response KeyValueService::RenewLease(const std::string& aBody)
{
  const auto lease = json::parse(aBody).at("lease").get<std::int64_t>();
  const auto found = mLeases.find(lease);
  if (found == mLeases.end()) {
    return { 404, "{}" };
  }
  found->second.mExpiresAt = MonotonicNow() + found->second.mTimeToLive;
  return { 200, "{}" };
}

void KeyValueService::EndLease(std::int64_t aLeaseId)
{
  mLeases.erase(aLeaseId);
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    if (entry->second.mLeaseId != aLeaseId || aLeaseId == 0) {
      ++entry;
      continue;
    }
    Record({ entry->first, "", ++mRevision }, "lapse");
    entry = mEntries.erase(entry);
  }
}

void KeyValueService::ExpireLeases()
{
  const std::lock_guard lock(mMutex);
  std::vector<std::int64_t> expired;
  for (const auto& [leaseId, lease] : mLeases) {
    if (lease.mExpiresAt < MonotonicNow()) {
      expired.push_back(leaseId);
    }
  }
  for (const std::int64_t leaseId : expired) {
    EndLease(leaseId);
  }
}

std::vector<KeyValueChange> KeyValueService::History() const
{
  const std::lock_guard lock(mMutex);
  return mHistory;
}

KeyValueCallCounts KeyValueService::CallCounts() const
{
  const std::lock_guard lock(mMutex);
  return mCallCounts;
}

void KeyValueService::Record(const KeyValueEntry& aEntry, const char* aKind)
{
  mHistory.push_back({ MonotonicNow(), aEntry, aKind, false });
  WakeWatchers();
}

std::int64_t KeyValueService::RevisionOf(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? 0 : found->second.mEntry.mRevision;
}

std::vector<KeyValueEntry> KeyValueService::ListEntries(
  const std::string& aPrefix,
  std::int64_t aAfterRevision) const
{
  std::vector<KeyValueEntry> entries;
  for (auto entry = mEntries.lower_bound(aPrefix);
       entry != mEntries.end() && entry->first.starts_with(aPrefix);
       ++entry) {
    if (entry->second.mEntry.mRevision > aAfterRevision) {
      entries.push_back(entry->second.mEntry);
    }
  }
  return entries;
}

std::string KeyValueService::EntriesBody(
  const std::vector<KeyValueEntry>& aEntries) const
{
  json entries = json::array();
  for (const KeyValueEntry& entry : aEntries) {
    entries.push_back(ToJson(entry));
  }
  return json{ { "entries", entries }, { "revision", mRevision } }.dump();
}

void KeyValueService::WakeWatchers()
{
  for (Exchange* watcher : mWatchers) {
    watcher->Wake();
  }
}

} // namespace Acaciavale::StandIns
