#include "DecisionLog.h"

#include <functional>

namespace Acaciavale {

namespace {

constexpr std::size_t kRecordsPerShard = 512;

} // namespace

const DecisionLog::Shard& DecisionLog::ShardOf(
  const std::string& aRequestId) const
{
  return mShards[std::hash<std::string>{}(aRequestId) % kShardCount];
}

void DecisionLog::Add(DecisionRecord aRecord)
{
  auto& shard = const_cast<Shard&>(ShardOf(aRecord.mRequestId));
  const std::lock_guard guard(shard.mLock);
  const std::string requestId = aRecord.mRequestId;
  if (shard.mRecords.insert_or_assign(requestId, std::move(aRecord)).second) {
    shard.mInsertionOrder.push_back(requestId);
  }
  while (shard.mInsertionOrder.size() > kRecordsPerShard) {
    shard.mRecords.erase(shard.mInsertionOrder.front());
    shard.mInsertionOrder.pop_front();
  }
}

std::optional<DecisionRecord> DecisionLog::Find(
  const std::string& aRequestId) const
{
  const Shard& shard = ShardOf(aRequestId);
  const std::lock_guard guard(shard.mLock);
  const auto found = shard.mRecords.find(aRequestId);
  if (found == shard.mRecords.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace Acaciavale
