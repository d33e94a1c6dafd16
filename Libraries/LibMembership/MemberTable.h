#pragma once

#include "Digest.h"

#include <Acaciavale/LibCore/Random.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

/// What one VM knows of the others. No clock, no lock and no I/O: the time is
/// an argument, so that tests and measurements step it.
namespace Acaciavale {

struct MemberRecord
{
  VmState mState;
  VmHealth mHealth = VmHealth::Alive;
  bool mLeft = false;
  bool mDeathReported = false;
  TimePoint mLastHeartbeatAt{};  ///< When its heartbeat last rose here.
  TimePoint mLastDigestSentAt{}; ///< When a digest last went to it from here.
  int mUrgentTransmissions = 0;  ///< Digests that shall still carry its news.
  int mTransmissions = 0;        ///< Digests that carried its last heartbeat.
};

struct MemberTable
{
  ShortId mSelfId = 0;
  std::map<ShortId, MemberRecord> mRecords; ///< The own record among them.
  std::uint32_t mDigestCount = 0;           ///< Digests built so far.
  std::int64_t mHighestGeneration = 0; ///< Highest that this VM has heard of.
};

/// Times after which a silent VM is suspected and given up; see
/// ScaledFailureTimes.
struct FailureTimes
{
  Duration mSuspectAfter{};
  Duration mDeadAfter{};

  auto operator<=>(const FailureTimes&) const = default;
};

/// What a merge brought to light.
struct MergeOutcome
{
  std::vector<ShortId> mUnknownIds; ///< Ids that nobody has described here yet.
  std::vector<ShortId>
    mUrgentIds; ///< Joins, and changes that must spread fast.

  auto operator<=>(const MergeOutcome&) const = default;
};

/// Takes the own state in; its heartbeat rises by one. A new incarnation
/// replaces the own record, and the old one is left to time out at the peers.
void UpdateSelf(MemberTable& aTable,
                VmState aSelfState,
                bool aLeft,
                TimePoint aNow);

/// Merges what a peer told. A row counts only if its heartbeat is above the
/// known one, so that late and repeated digests change nothing.
MergeOutcome MergeDigest(MemberTable& aTable,
                         const Digest& aDigest,
                         TimePoint aNow);

/// Adds a VM found in the key-value service, unless it is known already.
void AddSeed(MemberTable& aTable, const VmState& aState, TimePoint aNow);

/// Chooses the rows of one digest: the own row, then news, then the heartbeats
/// that were told least, the fresh ones first.
std::vector<DigestRow> ChooseRows(MemberTable& aTable, std::size_t aMaxCount);

/// Full descriptions of those of the ids that are known here.
std::vector<VmDescription> DescribeVms(const MemberTable& aTable,
                                       const std::vector<ShortId>& aIds);

/// Works the health out again and returns the incarnations that died since the
/// last call, each once ever. Dead records are forgotten after a while.
std::vector<Incarnation> UpdateHealth(MemberTable& aTable,
                                      const FailureTimes& aTimes,
                                      TimePoint aNow);

/// This process stood still for that long: no silence of the others during it
/// is held against them.
void DiscountPause(MemberTable& aTable, Duration aPause);

/// Peers that digests may go to: not dead, not this VM.
std::vector<ShortId> LivePeers(const MemberTable& aTable);

/// Draws peers without repetition, and in the place of the first one the peer
/// that was neither heard of nor asked for the longest time: a digest that
/// misses somebody by chance does not make him suspect.
std::vector<ShortId> ChoosePeers(MemberTable& aTable,
                                 std::size_t aMaxCount,
                                 TimePoint aNow,
                                 Random& aRandom);

/// A peer that is taken for dead but did not leave in order. One is tried now
/// and then: after a partition both sides would wait for each other for ever.
std::optional<ShortId> ChooseDeadPeer(const MemberTable& aTable,
                                      Random& aRandom);

std::vector<Member> ListMembers(const MemberTable& aTable);

} // namespace Acaciavale
