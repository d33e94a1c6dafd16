#include "KeyValueService.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

namespace {

using nlohmann::json;

constexpr const char* kPart = "key-value";
constexpr std::size_t kMaxValueBytes = 1 << 20;

json JsonOf(const KeyValueEntry& aEntry)
{
  return { { "key", aEntry.mKey },
           { "value", aEntry.mValue },
           { "revision", aEntry.mRevision } };
}

} // namespace

KeyValueService::KeyValueService(FaultBoard& aFaults)
  : mFaults(aFaults)
{
}

Task KeyValueService::Serve(Exchange& aExchange)
{
  const PartFaults faults = mFaults.Of(kPart);
  if (faults.mDelay > Duration::zero()) {
    co_await aExchange.Sleep(faults.mDelay);
  }
  if (mFaults.IsDown(kPart)) {
    aExchange.Drop();
    co_return;
  }
  if (aExchange.Asked().mPath == "/v1/watch") {
    co_await Watch(aExchange);
    co_return;
  }
  const Answer answer = Call(aExchange.Asked());
  if (answer.mChange != 0 && mFaults.Chance(faults.mLoseAnswers)) {
    {
      const std::lock_guard lock(mMutex);
      mHistory[answer.mChange - 1].mAnswerLost = true;
    }
    aExchange.Drop();
    co_return;
  }
  co_await aExchange.Reply(answer.mStatus, answer.mBody);
}

Task KeyValueService::Watch(Exchange& aExchange)
{
  const auto& query = aExchange.Asked().mQuery;
  const std::string prefix = ValueOr(query, "prefix", "");
  const std::int64_t after = std::stoll(ValueOr(query, "after", "0"));
  const Milliseconds wait(std::stoll(ValueOr(query, "wait_ms", "0")));
  const TimePoint end = MonotonicNow() + wait;
  std::string body;
  bool changed = false;
  {
    const std::lock_guard lock(mMutex);
    ++mCalls.mWatches;
    mWatchers.insert(&aExchange);
  }
  do {
    {
      const std::lock_guard lock(mMutex);
      const std::vector<KeyValueEntry> entries = Under(prefix, after);
      changed = !entries.empty();
      body = EntriesBody(entries);
    }
    if (!changed) {
      co_await aExchange.Suspend(end - MonotonicNow());
    }
  } while (!changed && !aExchange.Gone() && MonotonicNow() < end &&
           !mFaults.IsDown(kPart));
  {
    const std::lock_guard lock(mMutex);
    mWatchers.erase(&aExchange);
  }
  if (mFaults.IsDown(kPart)) {
    aExchange.Drop();
    co_return;
  }
  co_await aExchange.Reply(200, body);
}

KeyValueService::Answer KeyValueService::Call(const Request& aRequest)
{
  const std::lock_guard lock(mMutex);
  if (aRequest.mPath == "/v1/kv") {
    return CallKeys(aRequest);
  }
  if (aRequest.mPath.starts_with("/v1/leases")) {
    ++mCalls.mLeaseCalls;
    return CallLeases(aRequest);
  }
  return { 404, "{}" };
}

KeyValueService::Answer KeyValueService::CallKeys(const Request& aRequest)
{
  if (aRequest.mMethod == "GET") {
    ++mCalls.mReads;
    return aRequest.mQuery.contains("key") ? Read(aRequest.mQuery.at("key"))
                                           : List(aRequest.mQuery.at("prefix"));
  }
  ++mCalls.mWrites;
  if (aRequest.mMethod == "POST") {
    return Write(aRequest.mBody);
  }
  return Remove(aRequest.mQuery.at("key"),
                std::stoll(aRequest.mQuery.at("expected_revision")));
}

KeyValueService::Answer KeyValueService::CallLeases(const Request& aRequest)
{
  if (aRequest.mPath == "/v1/leases/keep") {
    return KeepLease(aRequest.mBody);
  }
  if (aRequest.mMethod == "POST") {
    return GrantLease(aRequest.mBody);
  }
  EndLease(std::stoll(aRequest.mQuery.at("lease")));
  return { 200, "{}" };
}

KeyValueService::Answer KeyValueService::Read(const std::string& aKey) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return { 404, "{}" };
  }
  return { 200, JsonOf(found->second.mEntry).dump() };
}

KeyValueService::Answer KeyValueService::List(const std::string& aPrefix) const
{
  return { 200, EntriesBody(Under(aPrefix, 0)) };
}

KeyValueService::Answer KeyValueService::Write(const std::string& aBody)
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

KeyValueService::Answer KeyValueService::Remove(const std::string& aKey,
                                                std::int64_t aExpected)
{
  const std::int64_t current = RevisionOf(aKey);
  if (aExpected != current || current == 0) {
    return { 409, json{ { "revision", current } }.dump() };
  }
  mEntries.erase(aKey);
  Record({ aKey, "", ++mRevision }, "remove");
  return { 200, json{ { "revision", mRevision } }.dump(), mHistory.size() };
}

KeyValueService::Answer KeyValueService::GrantLease(const std::string& aBody)
{
  const Milliseconds live(json::parse(aBody).at("ttl_ms").get<std::int64_t>());
  const std::int64_t lease = ++mLastLease;
  mLeases[lease] = { live, MonotonicNow() + live };
  return { 200, json{ { "lease", lease } }.dump() };
}

KeyValueService::Answer KeyValueService::KeepLease(const std::string& aBody)
{
  const auto lease = json::parse(aBody).at("lease").get<std::int64_t>();
  const auto found = mLeases.find(lease);
  if (found == mLeases.end()) {
    return { 404, "{}" };
  }
  found->second.mEnd = MonotonicNow() + found->second.mTimeToLive;
  return { 200, "{}" };
}

void KeyValueService::EndLease(std::int64_t aLease)
{
  mLeases.erase(aLease);
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    if (entry->second.mLease != aLease || aLease == 0) {
      ++entry;
      continue;
    }
    Record({ entry->first, "", ++mRevision }, "lapse");
    entry = mEntries.erase(entry);
  }
}

void KeyValueService::LapseLeases()
{
  const std::lock_guard lock(mMutex);
  std::vector<std::int64_t> lapsed;
  for (const auto& [number, lease] : mLeases) {
    if (lease.mEnd < MonotonicNow()) {
      lapsed.push_back(number);
    }
  }
  for (const std::int64_t lease : lapsed) {
    EndLease(lease);
  }
}

std::vector<KeyValueChange> KeyValueService::History() const
{
  const std::lock_guard lock(mMutex);
  return mHistory;
}

KeyValueCalls KeyValueService::Calls() const
{
  const std::lock_guard lock(mMutex);
  return mCalls;
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

std::vector<KeyValueEntry> KeyValueService::Under(const std::string& aPrefix,
                                                  std::int64_t aAfter) const
{
  std::vector<KeyValueEntry> entries;
  for (auto entry = mEntries.lower_bound(aPrefix);
       entry != mEntries.end() && entry->first.starts_with(aPrefix);
       ++entry) {
    if (entry->second.mEntry.mRevision > aAfter) {
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
    entries.push_back(JsonOf(entry));
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
