#include "DecisionLog.h"

#include <functional>

namespace Acaciavale {

namespace {

constexpr std::size_t kNotesPerShard = 512;

} // namespace

const DecisionLog::Shard& DecisionLog::ShardOf(
  const std::string& aRequest) const
{
  return mShards[std::hash<std::string>{}(aRequest) % kShards];
}

void DecisionLog::Add(DecisionNote aNote)
{
  auto& shard = const_cast<Shard&>(ShardOf(aNote.mRequest));
  const std::lock_guard guard(shard.mLock);
  const std::string request = aNote.mRequest;
  if (shard.mNotes.insert_or_assign(request, std::move(aNote)).second) {
    shard.mOrder.push_back(request);
  }
  while (shard.mOrder.size() > kNotesPerShard) {
    shard.mNotes.erase(shard.mOrder.front());
    shard.mOrder.pop_front();
  }
}

std::optional<DecisionNote> DecisionLog::Find(const std::string& aRequest) const
{
  const Shard& shard = ShardOf(aRequest);
  const std::lock_guard guard(shard.mLock);
  const auto found = shard.mNotes.find(aRequest);
  if (found == shard.mNotes.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace Acaciavale
