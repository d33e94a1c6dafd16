#pragma once

#include "MemberTable.h"

#include <set>
#include <string>
#include <vector>

/// Selection of the peers that hold copies of this VM's bill entries.
namespace Acaciavale {

/// A peer that is to hold copies of bill entries.
struct Holder
{
  std::string mPeerAddress;
  std::string mFailureDomain;

  auto operator<=>(const Holder&) const = default;
};

/// The number of failure domains to reach, and the results of earlier attempts.
struct HolderQuery
{
  std::size_t mWantedDomains = 2; ///< Number of distinct failure domains.
  /// Failure domains in which a peer holds the entries already.
  std::set<std::string> mAcknowledgedDomains;
  /// Peer addresses that earlier attempts have used.
  std::set<std::string> mTriedAddresses;
};

/// Chooses one peer in each failure domain that is still needed, never in this
/// VM's own. Prefers alive peers to suspect ones, then those that are not
/// draining. Among equal peers each VM uses a fixed order of its own, so that
/// it needs few connections and the load is spread.
std::vector<Holder> ChooseHolders(const MemberTable& aTable,
                                  const HolderQuery& aQuery);

} // namespace Acaciavale
