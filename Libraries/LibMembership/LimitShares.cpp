#include <Acaciavale/LibMembership/LimitShares.h>

#include <Acaciavale/LibCore/Random.h>

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

constexpr const char* kEpochKey = "limits/epoch";

/// Whether the VMs that the epoch lists as live are exactly the given members.
bool CoversMembers(const LimitEpoch& aEpoch,
                   const std::vector<LimitMember>& aLive)
{
  std::vector<std::string> allocatedVms;
  for (const LimitAllocation& allocation : aEpoch.mAllocations) {
    if (allocation.mMissingSince.count() == 0) {
      allocatedVms.push_back(allocation.mVm);
    }
  }
  std::vector<std::string> liveVms;
  liveVms.reserve(aLive.size());
  for (const LimitMember& member : aLive) {
    liveVms.push_back(member.mVm);
  }
  std::sort(liveVms.begin(), liveVms.end());
  liveVms.erase(std::unique(liveVms.begin(), liveVms.end()), liveVms.end());
  return allocatedVms == liveVms;
}

} // namespace

std::string SerializeLimitEpoch(const LimitEpoch& aEpoch,
                                const std::string& aNonce)
{
  nlohmann::json allocations = nlohmann::json::array();
  for (const LimitAllocation& allocation : aEpoch.mAllocations) {
    allocations.push_back(
      { { "vm", allocation.mVm },
        { "share", allocation.mShare },
        { "floor", allocation.mFloor },
        { "missing_since", allocation.mMissingSince.count() } });
  }
  const nlohmann::json record = { { "epoch", aEpoch.mNumber },
                                  { "parts", allocations },
                                  { "nonce", aNonce } };
  return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ErrorOr<LimitEpoch> ParseLimitEpoch(const std::string& aValue)
{
  const auto record = nlohmann::json::parse(aValue, nullptr, false);
  if (!record.is_object()) {
    return MakeError(ErrorCode::Invalid,
                     "Limit epoch record is not a JSON object.");
  }
  try {
    LimitEpoch epoch;
    epoch.mNumber = record.at("epoch").get<std::uint64_t>();
    for (const auto& item : record.at("parts")) {
      LimitAllocation allocation;
      allocation.mVm = item.at("vm").get<std::string>();
      allocation.mShare = std::clamp(item.at("share").get<double>(), 0.0, 1.0);
      allocation.mFloor = std::clamp(item.at("floor").get<double>(), 0.0, 1.0);
      allocation.mMissingSince =
        UnixMilliseconds(item.at("missing_since").get<std::int64_t>());
      epoch.mAllocations.push_back(std::move(allocation));
    }
    return epoch;
  } catch (const nlohmann::json::exception&) {
    return MakeError(
      ErrorCode::Invalid,
      "Limit epoch record lacks a field or has one of the wrong type.");
  }
}

struct LimitShares::Private
{
  LimitOptions mOptions;
  KeyValueStore mStore;
  Random mRandom;
  mutable std::mutex mMutex;
  LimitState mState;

  Private(LimitOptions aOptions, KeyValueStore aStore, std::uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mStore(std::move(aStore))
    , mRandom(aSeed)
  {
  }

  void Apply(const LimitEpoch& aEpoch, TimePoint aReadBegan)
  {
    const std::lock_guard lock(mMutex);
    mState = ApplyEpoch(
      std::move(mState), aEpoch, mOptions, aReadBegan, MonotonicNow());
  }

  ErrorOr<std::int64_t> Write(const LimitEpoch& aEpoch, std::int64_t aRevision)
  {
    return WriteResolved(mStore,
                         { kEpochKey,
                           SerializeLimitEpoch(aEpoch, RandomToken(mRandom)),
                           aRevision,
                           0 });
  }

  bool IsAuthor(const std::vector<LimitMember>& aLive) const
  {
    const auto first = std::min_element(aLive.begin(), aLive.end());
    return first != aLive.end() && first->mVm == mOptions.mVm;
  }
};

LimitShares::LimitShares(LimitOptions aOptions,
                         KeyValueStore aStore,
                         std::uint64_t aSeed)
  : mPrivate(
      std::make_unique<Private>(std::move(aOptions), std::move(aStore), aSeed))
{
}

LimitShares::~LimitShares() = default;

void LimitShares::Update(const std::vector<LimitMember>& aLive)
{
  const TimePoint readBegan = MonotonicNow();
  const auto stored = mPrivate->mStore.mRead(kEpochKey);
  if (!stored) {
    return;
  }
  LimitEpoch epoch;
  if (*stored) {
    const auto parsed = ParseLimitEpoch((*stored)->mValue);
    if (!parsed) {
      return;
    }
    epoch = *parsed;
    mPrivate->Apply(epoch, readBegan);
  }
  if (CoversMembers(epoch, aLive) || !mPrivate->IsAuthor(aLive)) {
    return;
  }
  const LimitEpoch next =
    NextEpoch(epoch, aLive, mPrivate->mOptions, CalendarNow());
  if (mPrivate->Write(next, *stored ? (*stored)->mRevision : 0)) {
    mPrivate->Apply(next, readBegan);
  }
}

void LimitShares::Leave()
{
  {
    // NOTE: From here on this VM uses no share, whether or not the write
    //       succeeds.
    const std::lock_guard lock(mPrivate->mMutex);
    mPrivate->mState = {};
  }
  const auto stored = mPrivate->mStore.mRead(kEpochKey);
  if (!stored || !*stored) {
    return;
  }
  auto epoch = ParseLimitEpoch((*stored)->mValue);
  if (!epoch) {
    return;
  }
  std::erase_if(epoch->mAllocations,
                [this](const LimitAllocation& aAllocation) {
                  return aAllocation.mVm == mPrivate->mOptions.mVm;
                });
  ++epoch->mNumber;
  // NOTE: If this write fails, the floor stays reserved until the VM is dropped
  //       as missing. That wastes a small part of the limits but exceeds none.
  (void)mPrivate->Write(*epoch, (*stored)->mRevision);
}

double LimitShares::Share() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return CurrentLimitShare(
    mPrivate->mState, mPrivate->mOptions, MonotonicNow());
}

} // namespace Acaciavale
