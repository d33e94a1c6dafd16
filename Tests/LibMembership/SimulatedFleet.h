#pragma once

#include <LibMembership/EvidenceGossip.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/Pacing.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

/// A simulated fleet of member tables without sockets or a clock, for tests and
/// benchmarks. In each round every VM exchanges digests with a few others.
namespace Acaciavale {

/// State of the VM with this index.
inline VmState SimulatedVm(std::size_t aIndex)
{
  VmState state;
  state.mName = "vm-" + std::to_string(aIndex);
  state.mIncarnation = "0123456789abcdef0123456789abcdef";
  state.mCallerAddress = "10.0.0.1:8080";
  state.mPeerAddress = "10.0.0.1:" + std::to_string(10000 + aIndex);
  state.mOperatorAddress = "10.0.0.1:9090";
  state.mFailureDomain = "domain-" + std::to_string(aIndex % 9);
  return state;
}

struct SimulatedFleet
{
  std::vector<VmState> mStates;
  std::vector<MemberTable> mTables;
  std::map<ShortId, std::size_t> mIndices; ///< Index of each VM by its id.
  std::set<std::size_t> mStopped;          ///< Indices of crashed VMs.
  /// Whether the network connects the two VMs with these indices.
  std::function<bool(std::size_t, std::size_t)> mIsReachable =
    [](std::size_t, std::size_t) { return true; };
  Random mRandom{ 1 };
  TimePoint mNow{};
  MembershipOptions mOptions;

  /// Each VM starts with a record of all others, as after reading the list in
  /// the key-value service.
  explicit SimulatedFleet(std::size_t aSize)
    : mTables(aSize)
  {
    for (std::size_t index = 0; index < aSize; ++index) {
      mStates.push_back(SimulatedVm(index));
      UpdateSelf(mTables[index], mStates[index], false, mNow);
      mIndices[mTables[index].mSelfId] = index;
    }
    for (MemberTable& table : mTables) {
      for (const VmState& state : mStates) {
        AddSeed(table, state, mNow);
      }
    }
  }

  void Exchange(std::size_t aFrom, std::size_t aTo, std::size_t aMaxRows)
  {
    if (mStopped.contains(aTo) || !mIsReachable(aFrom, aTo)) {
      return;
    }
    Digest request{ mTables[aFrom].mSelfId, {}, {}, {}, {} };
    request.mRows = ChooseRows(mTables[aFrom], aMaxRows);
    MergeDigest(mTables[aTo], request, mNow);
    Digest reply{ mTables[aTo].mSelfId, {}, {}, {}, {} };
    reply.mRows = ChooseRows(mTables[aTo], aMaxRows);
    MergeDigest(mTables[aFrom], reply, mNow);
  }

  /// Runs one round of every VM. Returns the deaths that the VMs detected.
  std::vector<Incarnation> RunRound()
  {
    const RoundPlan plan = PlanRound(mOptions, mTables.size());
    const FailureTimes timeouts = ScaledFailureTimes(mOptions, mTables.size());
    std::vector<Incarnation> died;
    mNow += plan.mPeriod;
    for (std::size_t index = 0; index < mTables.size(); ++index) {
      if (mStopped.contains(index)) {
        continue;
      }
      MemberTable& table = mTables[index];
      UpdateSelf(table, mStates[index], false, mNow);
      const auto newlyDead = UpdateHealth(table, timeouts, mNow);
      died.insert(died.end(), newlyDead.begin(), newlyDead.end());
      auto targets = ChoosePeers(table, plan.mFanOut, mNow, mRandom);
      const auto dead = ChooseDeadPeer(table, mRandom);
      if (dead && mRandom.Below(4) == 0) {
        targets.push_back(*dead);
      }
      for (const ShortId id : targets) {
        Exchange(index, mIndices.at(id), plan.mMaxRows);
      }
    }
    return died;
  }
};

} // namespace Acaciavale
