#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// This VM's part of limits that hold over the whole deployment. The parts of
/// all VMs sum to at most 1 at any time, also while VMs cannot talk: the epoch
/// record grants parts by compare-and-swap; a VM that cannot confirm the epoch
/// falls to its floor, which every epoch keeps free for it; and a part that
/// grows, or a new floor, is taken up only after all others must have given
/// theirs up. A VM that starts has no part for that long.
namespace Acaciavale {

/// A live VM as the epoch's author sees it.
struct LimitMember
{
  std::string mVm;
  std::int64_t mWeight = 1;

  auto operator<=>(const LimitMember&) const = default;
};

/// One VM's part in an epoch.
struct LimitAllocation
{
  std::string mVm;
  double mShare = 0;
  double mFloor = 0; ///< Never changes while the VM is in the record.
  UnixMilliseconds mMissingSince{}; ///< 0 while it is live.

  auto operator<=>(const LimitAllocation&) const = default;
};

struct LimitEpoch
{
  std::uint64_t mNumber = 0;
  std::vector<LimitAllocation> mAllocations; ///< Ordered by VM.

  auto operator<=>(const LimitEpoch&) const = default;
};

struct LimitOptions
{
  std::string mVm;
  double mFloorFraction =
    0.8; ///< Of each limit, kept for VMs that are cut off.
  /// Weight of the largest fleet; each VM's floor is its part of this.
  std::int64_t mMaxFleetWeight = 16;
  /// How long a confirmed epoch may be used.
  Duration mEpochValidity = std::chrono::milliseconds(6000);
  /// How long a growing part waits; longer than mEpochValidity by more than
  /// clocks drift apart.
  Duration mGrowthDelay = std::chrono::milliseconds(6600);
  /// How long a missing VM keeps its floor.
  Duration mMissingFloorRetention = std::chrono::hours(24);

  auto operator<=>(const LimitOptions&) const = default;
};

/// What a VM knows of the epochs.
struct LimitState
{
  LimitEpoch mEpoch;
  double mPreviousShare = 0; ///< Its own part until the current epoch.
  TimePoint mEpochSince{};   ///< When it first saw the current epoch.
  TimePoint mFloorSince{};   ///< When it first saw its present floor.
  TimePoint mConfirmedAt{};  ///< When the last read that showed it began.

  auto operator<=>(const LimitState&) const = default;
};

/// The epoch after this one for the live VMs.
LimitEpoch NextEpoch(const LimitEpoch& aEpoch,
                     const std::vector<LimitMember>& aLive,
                     const LimitOptions& aOptions,
                     UnixMilliseconds aNow);

/// Takes in an epoch from a read that began then.
LimitState ApplyEpoch(LimitState aState,
                      const LimitEpoch& aEpoch,
                      const LimitOptions& aOptions,
                      TimePoint aReadBegan,
                      TimePoint aNow);

/// The part that this VM may use now, 0 to 1.
double CurrentLimitShare(const LimitState& aState,
                         const LimitOptions& aOptions,
                         TimePoint aNow);

std::string SerializeLimitEpoch(const LimitEpoch& aEpoch,
                                const std::string& aNonce);
ErrorOr<LimitEpoch> ParseLimitEpoch(const std::string& aValue);

/// Keeps the epoch record `limits/epoch` and this VM's part. Thread-safe.
class LimitShares
{
public:
  LimitShares(LimitOptions aOptions, KeyValueStore aStore, std::uint64_t aSeed);
  ~LimitShares();

  /// Reads the epoch; writes the next one if the live VMs differ from it and
  /// this VM's name is the first of them. Call it at least three times in
  /// mEpochValidity.
  void Update(const std::vector<LimitMember>& aLive);
  /// Gives this VM's part and floor back: the last step of a graceful stop.
  void Leave();

  double Share() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
