#pragma once

#include "Digest.h"

#include <Acaciavale/LibCore/Random.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

/// The records that one VM has of all VMs. These functions use no clock, lock
/// or I/O: the time is an argument, so that tests and benchmarks control it.
namespace Acaciavale {

/// One VM as recorded by this VM.
struct MemberRecord
{
  VmState mState;
  VmHealth mHealth = VmHealth::Alive;
  bool mLeft = false;          ///< Whether the VM stopped gracefully.
  bool mDeathReported = false; ///< Whether UpdateHealth has returned the VM.
  /// Time when a higher heartbeat of the VM was last received.
  TimePoint mLastHeartbeatAt{};
  /// Time when this VM last sent the VM a digest.
  TimePoint mLastDigestSentAt{};
  /// Number of digests that are still to carry the row with priority.
  int mUrgentTransmissions = 0;
  /// Number of digests that have carried the current heartbeat.
  int mTransmissions = 0;
};

struct MemberTable
{
  ShortId mSelfId = 0;
  std::map<ShortId, MemberRecord> mRecords; ///< Includes this VM's own.
  std::uint32_t mDigestCount = 0;           ///< Number of digests built.
  /// Highest settings generation received from any VM.
  std::int64_t mHighestGeneration = 0;
};

/// Times without a new heartbeat after which a VM is suspect and dead; see
/// ScaledFailureTimes().
struct FailureTimes
{
  Duration mSuspectAfter{};
  Duration mDeadAfter{};

  auto operator<=>(const FailureTimes&) const = default;
};

/// Result of merging a digest.
struct MergeOutcome
{
  std::vector<ShortId> mUnknownIds; ///< Ids without a record in the table.
  /// VMs that joined or whose change is to spread fast.
  std::vector<ShortId> mUrgentIds;

  auto operator<=>(const MergeOutcome&) const = default;
};

/// Stores the state of this VM and increments its heartbeat. A new incarnation
/// replaces this VM's record; peers declare the old one dead after the timeout.
void UpdateSelf(MemberTable& aTable,
                VmState aSelfState,
                bool aLeft,
                TimePoint aNow);

/// Merges a digest from a peer. A row is applied only if its heartbeat is above
/// the recorded one, so that late and repeated digests change nothing.
MergeOutcome MergeDigest(MemberTable& aTable,
                         const Digest& aDigest,
                         TimePoint aNow);

/// Adds a VM that is listed in the key-value service, unless it has a record.
void AddSeed(MemberTable& aTable, const VmState& aState, TimePoint aNow);

/// Chooses the rows of one digest: this VM's own, then those with urgent
/// changes, then those whose heartbeat was sent least often, the newest
/// heartbeats first.
std::vector<DigestRow> ChooseRows(MemberTable& aTable, std::size_t aMaxCount);

/// Full descriptions of those VMs among the ids that have a record.
std::vector<VmDescription> DescribeVms(const MemberTable& aTable,
                                       const std::vector<ShortId>& aIds);

/// Updates the health of all peers. Returns the incarnations that have become
/// dead since the last call; none is returned twice. Records of dead VMs are
/// dropped after kDeadRetention.
std::vector<Incarnation> UpdateHealth(MemberTable& aTable,
                                      const FailureTimes& aTimes,
                                      TimePoint aNow);

/// Excludes a pause of this process from the silence of its peers, since it
/// could not receive their heartbeats meanwhile.
void DiscountPause(MemberTable& aTable, Duration aPause);

/// Ids of all VMs that are not dead, without this VM.
std::vector<ShortId> LivePeers(const MemberTable& aTable);

/// Chooses up to aMaxCount live peers at random. The first is replaced by the
/// peer without a new heartbeat or a digest from this VM for the longest time,
/// so that no peer becomes suspect because random choices keep missing it.
std::vector<ShortId> ChoosePeers(MemberTable& aTable,
                                 std::size_t aMaxCount,
                                 TimePoint aNow,
                                 Random& aRandom);

/// Chooses at random a dead peer that did not leave gracefully. Digests go to
/// such a peer from time to time, as otherwise the two sides of a healed
/// partition would never contact each other again.
std::optional<ShortId> ChooseDeadPeer(const MemberTable& aTable,
                                      Random& aRandom);

/// All VMs on record, sorted by name and incarnation.
std::vector<Member> ListMembers(const MemberTable& aTable);

} // namespace Acaciavale
