#include "Holders.h"

#include <algorithm>
#include <tuple>

namespace Acaciavale {

namespace {

std::uint64_t Affinity(ShortId aSelf, ShortId aPeer)
{
  return Random((std::uint64_t(aSelf) << 32) | aPeer).Next();
}

/// Smaller is better.
struct Candidate
{
  bool mSuspect = false;
  bool mDraining = false;
  std::uint64_t mOrder = 0;
  Holder mHolder;

  auto operator<=>(const Candidate&) const = default;
};

std::vector<Candidate> CandidatesOf(const MemberTable& aTable,
                                    const HolderQuery& aQuery)
{
  std::vector<Candidate> candidates;
  const auto self = aTable.mRecords.find(aTable.mSelf);
  if (self == aTable.mRecords.end()) {
    return candidates;
  }
  const std::string& own = self->second.mState.mFailureDomain;
  for (const ShortId id : LivePeers(aTable)) {
    const MemberRecord& record = aTable.mRecords.at(id);
    const VmState& state = record.mState;
    const bool excluded = state.mFailureDomain == own ||
                          aQuery.mAcked.contains(state.mFailureDomain) ||
                          aQuery.mTried.contains(state.mPeerAddress);
    if (!excluded) {
      candidates.push_back({ record.mHealth == VmHealth::Suspect,
                             state.mDraining,
                             Affinity(aTable.mSelf, id),
                             { state.mPeerAddress, state.mFailureDomain } });
    }
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

} // namespace

std::vector<Holder> ChooseHolders(const MemberTable& aTable,
                                  const HolderQuery& aQuery)
{
  std::vector<Holder> holders;
  std::set<std::string> domains = aQuery.mAcked;
  for (const Candidate& candidate : CandidatesOf(aTable, aQuery)) {
    if (domains.size() >= aQuery.mWanted) {
      break;
    }
    if (domains.insert(candidate.mHolder.mFailureDomain).second) {
      holders.push_back(candidate.mHolder);
    }
  }
  return holders;
}

} // namespace Acaciavale
