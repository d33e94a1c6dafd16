#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <vector>

/// This VM's part of each account's limit.
namespace Acaciavale {

/// Another VM as this one sees it.
struct LimitMember
{
  double mWeight = 1;
  bool mListed = true;         ///< On the platform's list of VMs.
  Duration mTimeSinceListed{}; ///< 0 while it is listed.
  bool mReleased = false;      ///< It has drained and said that it stopped.
  bool mCountsThisVm = false;  ///< It has said that its sum holds this VM.

  auto operator<=>(const LimitMember&) const = default;
};

struct LimitShareQuery
{
  double mWeight = 1; ///< This VM's own.
  std::vector<LimitMember> mOthers;
  /// Since this VM last saw itself on the list, by itself or through a peer.
  Duration mTimeSinceSelfListed{};
  /// How long a VM that left the list still counts. Longer than any VM may
  /// serve on after it lost sight of the list, clock drift included.
  Duration mReclaimAfter = std::chrono::minutes(2);
};

/// The rule: a VM's part is its weight over the sum of the weights that it
/// counts. It counts itself, each listed VM, and each VM that left the list
/// less than mReclaimAfter ago without saying that it stopped. Its part is 0
/// until each VM that it counts has said that it counts this VM, and again once
/// it has not seen itself on the list for nine tenths of mReclaimAfter.
///
/// So any two VMs whose parts are not 0 count each other, each one's divisor is
/// at least the sum of the weights in use, and the parts sum to at most 1,
/// whoever can talk to whom. Silence alone never moves a limit: a VM that is
/// cut off keeps its part and nobody takes it.
double LimitShare(const LimitShareQuery& aQuery);

} // namespace Acaciavale
