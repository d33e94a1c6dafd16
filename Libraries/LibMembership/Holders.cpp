#include "Holders.h"

#include <algorithm>
#include <tuple>

namespace Acaciavale {

namespace {

/// Rank of the peer in this VM's fixed pseudo-random order of peers.
std::uint64_t RendezvousRank(ShortId aSelfId, ShortId aPeerId)
{
  return Random((std::uint64_t(aSelfId) << 32) | aPeerId).Next();
}

/// A possible holder; the smallest is preferred.
struct Candidate
{
  bool mSuspect = false;
  bool mDraining = false;
  std::uint64_t mRank = 0;
  Holder mHolder;

  auto operator<=>(const Candidate&) const = default;
};

std::vector<Candidate> RankCandidates(const MemberTable& aTable,
                                      const HolderQuery& aQuery)
{
  std::vector<Candidate> candidates;
  const auto self = aTable.mRecords.find(aTable.mSelfId);
  if (self == aTable.mRecords.end()) {
    return candidates;
  }
  const std::string& ownDomain = self->second.mState.mFailureDomain;
  for (const ShortId id : LivePeers(aTable)) {
    const MemberRecord& record = aTable.mRecords.at(id);
    const VmState& state = record.mState;
    const bool excluded =
      state.mFailureDomain == ownDomain ||
      aQuery.mAcknowledgedDomains.contains(state.mFailureDomain) ||
      aQuery.mTriedAddresses.contains(state.mPeerAddress);
    if (!excluded) {
      candidates.push_back({ record.mHealth == VmHealth::Suspect,
                             state.mDraining,
                             RendezvousRank(aTable.mSelfId, id),
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
  std::set<std::string> domains = aQuery.mAcknowledgedDomains;
  for (const Candidate& candidate : RankCandidates(aTable, aQuery)) {
    if (domains.size() >= aQuery.mWantedDomains) {
      break;
    }
    if (domains.insert(candidate.mHolder.mFailureDomain).second) {
      holders.push_back(candidate.mHolder);
    }
  }
  return holders;
}

} // namespace Acaciavale
