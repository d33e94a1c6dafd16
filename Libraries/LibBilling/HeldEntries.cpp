#include <Acaciavale/LibBilling/Ledger.h>

#include <array>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr std::size_t kShards = 16;

using EntriesByNumber = std::map<std::uint64_t, BillEntry>;

/// The incarnations of some of the VMs, under a lock of their own.
struct Shard
{
  mutable std::mutex mMutex;
  std::map<Incarnation, EntriesByNumber> mHeld;
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
    shard.mHeld[entry.mIncarnation].emplace(entry.mNumber, entry);
  }
}

void HeldEntries::Forget(const Incarnation& aIncarnation, std::uint64_t aUpTo)
{
  Shard& shard = mPrivate->ShardOf(aIncarnation);
  const std::lock_guard lock(shard.mMutex);
  const auto held = shard.mHeld.find(aIncarnation);
  if (held == shard.mHeld.end()) {
    return;
  }
  held->second.erase(held->second.begin(), held->second.upper_bound(aUpTo));
  if (held->second.empty()) {
    shard.mHeld.erase(held);
  }
}

void HeldEntries::Release(const std::vector<BillEntry>& aEntries)
{
  for (const BillEntry& entry : aEntries) {
    Shard& shard = mPrivate->ShardOf(entry.mIncarnation);
    const std::lock_guard lock(shard.mMutex);
    const auto held = shard.mHeld.find(entry.mIncarnation);
    if (held == shard.mHeld.end()) {
      continue;
    }
    held->second.erase(entry.mNumber);
    if (held->second.empty()) {
      shard.mHeld.erase(held);
    }
  }
}

std::vector<BillEntry> HeldEntries::Of(const Incarnation& aIncarnation) const
{
  const Shard& shard = mPrivate->ShardOf(aIncarnation);
  const std::lock_guard lock(shard.mMutex);
  std::vector<BillEntry> entries;
  const auto held = shard.mHeld.find(aIncarnation);
  if (held != shard.mHeld.end()) {
    for (const auto& [number, entry] : held->second) {
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
    for (const auto& [incarnation, entries] : shard.mHeld) {
      incarnations.push_back(incarnation);
    }
  }
  return incarnations;
}

} // namespace Acaciavale
