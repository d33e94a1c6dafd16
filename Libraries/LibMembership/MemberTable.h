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
  TimePoint mLastProgress{}; ///< When its heartbeat last rose here.
  TimePoint mLastAsked{};    ///< When a digest last went to it from here.
  int mUrgentSends = 0;      ///< Digests that shall still carry its news.
  int mTells = 0;            ///< Digests that carried its last heartbeat.
};

struct MemberTable
{
  ShortId mSelf = 0;
  std::map<ShortId, MemberRecord> mRecords; ///< The own record among them.
  std::uint32_t mDigests = 0;               ///< Digests built so far.
  std::int64_t mTopGeneration = 0; ///< Highest that this VM has heard of.
};

/// Times after which a silent VM is suspected and given up; see ScaledTimes.
struct FailureTimes
{
  Duration mSuspectAfter{};
  Duration mDeadAfter{};

  auto operator<=>(const FailureTimes&) const = default;
};

/// What a merge brought to light.
struct MergeOutcome
{
  std::vector<ShortId> mUnknown; ///< Ids that nobody has described here yet.
  std::vector<ShortId> mNews;    ///< Joins, and changes that must spread fast.

  auto operator<=>(const MergeOutcome&) const = default;
};

/// Takes the own state in; its heartbeat rises by one. A new incarnation
/// replaces the own record, and the old one is left to time out at the peers.
void BeatSelf(MemberTable& aTable, VmState aSelf, bool aLeft, TimePoint aNow);

/// Merges what a peer told. A row counts only if its heartbeat is above the
/// known one, so that late and repeated digests change nothing.
MergeOutcome MergeDigest(MemberTable& aTable,
                         const Digest& aDigest,
                         TimePoint aNow);

/// Adds a VM found in the key-value service, unless it is known already.
void AddSeed(MemberTable& aTable, const VmState& aState, TimePoint aNow);

/// Chooses the rows of one digest: the own row, then news, then the heartbeats
/// that were told least, the fresh ones first.
std::vector<DigestRow> ChooseRows(MemberTable& aTable, std::size_t aMost);

/// Full descriptions of those of the ids that are known here.
std::vector<VmDescribed> Describe(const MemberTable& aTable,
                                  const std::vector<ShortId>& aIds);

/// Works the health out again and returns the incarnations that died since the
/// last call, each once ever. Dead records are forgotten after a while.
std::vector<Incarnation> JudgeHealth(MemberTable& aTable,
                                     const FailureTimes& aTimes,
                                     TimePoint aNow);

/// This process stood still for that long: no silence of the others during it
/// is held against them.
void ForgiveSilence(MemberTable& aTable, Duration aGap);

/// Peers that digests may go to: not dead, not this VM.
std::vector<ShortId> LivePeers(const MemberTable& aTable);

/// Draws peers without repetition, and in the place of the first one the peer
/// that was neither heard of nor asked for the longest time: a digest that
/// misses somebody by chance does not make him suspect.
std::vector<ShortId> DrawPeers(MemberTable& aTable,
                               std::size_t aMost,
                               TimePoint aNow,
                               Random& aRandom);

/// A peer that is taken for dead but did not leave in order. One is tried now
/// and then: after a partition both sides would wait for each other for ever.
std::optional<ShortId> DrawDeadPeer(const MemberTable& aTable, Random& aRandom);

std::vector<Member> MembersOf(const MemberTable& aTable);

} // namespace Acaciavale
