#include <Acaciavale/LibBilling/Ledger.h>

#include <array>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr std::size_t kShards = 16;

using EntriesByNumber = std::map<std::uint64_t, BillEntry>;

/// The held entries of a subset of the VMs, with a separate lock.
struct Shard
{
  mutable std::mutex mMutex;
  std::map<Incarnation, EntriesByNumber> mEntries;
};

} // namespace

struct HeldEntries::Private
{
  std::array<Shard, kShards> mShards;

  Shard& ShardOf(const Incarnation& aIncarnation)
  {
    return mShards[std::hash<std::string>{}(aIncarnation.mVm) % kShards];
  }
};

HeldEntries::HeldEntries()
  : mPrivate(std::make_unique<Private>())
{
}

HeldEntries::~HeldEntries() = default;

void HeldEntries::Hold(const std::vector<BillEntry>& aEntries)
{
  for (const BillEntry& entry : aEntries) {
    Shard& shard = mPrivate->ShardOf(entry.mIncarnation);
    const std::lock_guard lock(shard.mMutex);
    shard.mEntries[entry.mIncarnation].emplace(entry.mNumber, entry);
  }
}

void HeldEntries::DiscardUpTo(const Incarnation& aIncarnation,
                              std::uint64_t aUpTo)
{
  Shard& shard = mPrivate->ShardOf(aIncarnation);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aIncarnation);
  if (found == shard.mEntries.end()) {
    return;
  }
  found->second.erase(found->second.begin(), found->second.upper_bound(aUpTo));
  if (found->second.empty()) {
    shard.mEntries.erase(found);
  }
}

void HeldEntries::Discard(const std::vector<BillEntry>& aEntries)
{
  for (const BillEntry& entry : aEntries) {
    Shard& shard = mPrivate->ShardOf(entry.mIncarnation);
    const std::lock_guard lock(shard.mMutex);
    const auto found = shard.mEntries.find(entry.mIncarnation);
    if (found == shard.mEntries.end()) {
      continue;
    }
    found->second.erase(entry.mNumber);
    if (found->second.empty()) {
      shard.mEntries.erase(found);
    }
  }
}

std::vector<BillEntry> HeldEntries::EntriesOf(
  const Incarnation& aIncarnation) const
{
  const Shard& shard = mPrivate->ShardOf(aIncarnation);
  const std::lock_guard lock(shard.mMutex);
  std::vector<BillEntry> entries;
  const auto found = shard.mEntries.find(aIncarnation);
  if (found != shard.mEntries.end()) {
    for (const auto& [number, entry] : found->second) {
      entries.push_back(entry);
    }
  }
  return entries;
}

std::vector<Incarnation> HeldEntries::Incarnations() const
{
  std::vector<Incarnation> incarnations;
  for (const Shard& shard : mPrivate->mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [incarnation, entries] : shard.mEntries) {
      incarnations.push_back(incarnation);
    }
  }
  return incarnations;
}

} // namespace Acaciavale
