#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Divides the limits of the whole deployment among its VMs. The shares in use
/// sum to at most 1 at any time, also during a network partition:
/// - Shares are granted by an epoch record, which is replaced by
///   compare-and-swap.
/// - A VM that cannot confirm the epoch falls back to its floor, which every
///   epoch reserves for it.
/// - A VM uses a larger share or a new floor only after a delay, when every
///   other VM must have stopped using the old epoch. A VM that has just started
///   has a share of 0 for that time.
namespace Acaciavale {

/// A live VM that gets a share in the next epoch.
struct LimitMember
{
  std::string mVm;
  std::int64_t mWeight = 1;

  auto operator<=>(const LimitMember&) const = default;
};

/// The share and floor that an epoch grants to one VM.
struct LimitAllocation
{
  std::string mVm;
  double mShare = 0;
  double mFloor = 0; ///< Constant as long as the VM is in the epoch record.
  UnixMilliseconds mMissingSince{}; ///< 0 while the VM is live.

  auto operator<=>(const LimitAllocation&) const = default;
};

/// One version of the epoch record.
struct LimitEpoch
{
  std::uint64_t mNumber = 0;
  std::vector<LimitAllocation> mAllocations; ///< Sorted by VM name.

  auto operator<=>(const LimitEpoch&) const = default;
};

struct LimitOptions
{
  std::string mVm;
  /// Fraction of each limit that is reserved for floors, which VMs without
  /// access to the store go on using.
  double mFloorFraction = 0.8;
  /// Total weight of the largest expected fleet. A VM's floor is
  /// mFloorFraction * (weight of the VM) / mMaxFleetWeight.
  std::int64_t mMaxFleetWeight = 16;
  /// Time for which a VM may use an epoch after confirming it.
  Duration mEpochValidity = std::chrono::milliseconds(6000);
  /// Delay before a VM uses a larger share. It exceeds mEpochValidity by more
  /// than the clocks of two VMs drift apart in that time.
  Duration mGrowthDelay = std::chrono::milliseconds(6600);
  /// Time for which epochs go on reserving the floor of a missing VM.
  Duration mMissingFloorRetention = std::chrono::hours(24);

  auto operator<=>(const LimitOptions&) const = default;
};

/// The newest epoch that this VM has read, with the previous share and the
/// times of the reads.
struct LimitState
{
  LimitEpoch mEpoch;
  double mPreviousShare = 0; ///< Share in use when mEpoch was first read.
  TimePoint mEpochSince{};   ///< Time when this VM first read mEpoch.
  TimePoint mFloorSince{};  ///< Time when this VM first read its current floor.
  TimePoint mConfirmedAt{}; ///< Start of the last read that returned mEpoch.

  auto operator<=>(const LimitState&) const = default;
};

/// Computes the epoch that follows aEpoch for the given live VMs.
LimitEpoch NextEpoch(const LimitEpoch& aEpoch,
                     const std::vector<LimitMember>& aLive,
                     const LimitOptions& aOptions,
                     UnixMilliseconds aNow);

/// Returns the state after a read that began at aReadBegan returned aEpoch.
LimitState ApplyEpoch(LimitState aState,
                      const LimitEpoch& aEpoch,
                      const LimitOptions& aOptions,
                      TimePoint aReadBegan,
                      TimePoint aNow);

/// The share of each limit that this VM may use at aNow, from 0 to 1.
double CurrentLimitShare(const LimitState& aState,
                         const LimitOptions& aOptions,
                         TimePoint aNow);

std::string SerializeLimitEpoch(const LimitEpoch& aEpoch,
                                const std::string& aNonce);
ErrorOr<LimitEpoch> ParseLimitEpoch(const std::string& aValue);

/// Maintains the epoch record `limits/epoch` in the store and the share of this
/// VM. Thread-safe.
class LimitShares
{
public:
  LimitShares(LimitOptions aOptions, KeyValueStore aStore, std::uint64_t aSeed);
  ~LimitShares();

  /// Reads the epoch. If its VMs differ from the live ones and this VM's name
  /// is the first of those, also writes the next epoch. To be called at least
  /// three times per mEpochValidity.
  void Update(const std::vector<LimitMember>& aLive);
  /// Releases the share and floor of this VM; the last step of a graceful stop.
  void Leave();

  /// The share of each limit that this VM may use now, from 0 to 1.
  double Share() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
