#pragma once

#include "MemberTable.h"

#include <set>
#include <string>
#include <vector>

/// Which peers hold this VM's bill entries.
namespace Acaciavale {

struct Holder
{
  std::string mPeerAddress;
  std::string mFailureDomain;

  auto operator<=>(const Holder&) const = default;
};

/// What is done already when holders are chosen.
struct HolderQuery
{
  std::size_t mWantedDomains = 2; ///< Distinct failure domains.
  std::set<std::string>
    mAcknowledgedDomains;                ///< Domains that hold the entries.
  std::set<std::string> mTriedAddresses; ///< Peer addresses asked before.
};

/// Chooses one peer for each failure domain still wanted: alive ones that do
/// not drain first, never in this VM's own domain. The order among peers is
/// fixed per VM, so that it keeps few connections and the load spreads.
std::vector<Holder> ChooseHolders(const MemberTable& aTable,
                                  const HolderQuery& aQuery);

} // namespace Acaciavale
