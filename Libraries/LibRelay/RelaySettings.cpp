#include <Acaciavale/LibRelay/RelaySettings.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <set>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Number of urgency levels that engines support: 0 to 9.
constexpr std::size_t kUrgencyLevels = 10;

} // namespace

const Route* FindRoute(const RelaySettings& aSettings,
                       std::string_view aHost,
                       std::string_view aPath)
{
  const Route* best = nullptr;
  for (const Route& route : aSettings.mRoutes) {
    const bool matches =
      boost::beast::iequals(route.mHost, { aHost.data(), aHost.size() }) &&
      aPath.starts_with(route.mPathPrefix);
    if (matches && (best == nullptr ||
                    route.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Pool* FindPool(const RelaySettings& aSettings, std::string_view aName)
{
  const auto found =
    std::find_if(aSettings.mPools.begin(),
                 aSettings.mPools.end(),
                 [&](const Pool& aPool) { return aPool.mName == aName; });
  return found == aSettings.mPools.end() ? nullptr : &*found;
}

const ClientAccount* FindAccount(const RelaySettings& aSettings,
                                 std::string_view aKey)
{
  if (aKey.empty()) {
    return nullptr;
  }
  for (const ClientAccount& account : aSettings.mAccounts) {
    if (std::find(account.mKeys.begin(), account.mKeys.end(), aKey) !=
        account.mKeys.end()) {
      return &account;
    }
  }
  return nullptr;
}

bool MayRepeat(const Route& aRoute)
{
  return aRoute.mKind == RequestKind::Repeatable ||
         (aRoute.mKind == RequestKind::Stream && aRoute.mResumable);
}

std::int64_t UrgencyOf(const RelaySettings& aSettings,
                       const ClientAccount* aAccount,
                       const Route& aRoute)
{
  std::set<std::int64_t> accounts{ aAccount == nullptr ? 0
                                                       : aAccount->mPriority };
  for (const ClientAccount& account : aSettings.mAccounts) {
    accounts.insert(account.mPriority);
  }
  std::set<std::int64_t> routes{ aRoute.mPriority };
  for (const Route& route : aSettings.mRoutes) {
    routes.insert(route.mPriority);
  }
  const auto account =
    std::distance(accounts.begin(),
                  accounts.find(aAccount == nullptr ? 0 : aAccount->mPriority));
  const auto route =
    std::distance(routes.begin(), routes.find(aRoute.mPriority));
  const auto rank = static_cast<std::size_t>(account) * routes.size() +
                    static_cast<std::size_t>(route);
  const std::size_t ranks = accounts.size() * routes.size();
  // NOTE: If there are more ranks than levels, the ranks are distributed evenly
  //       over the levels, in order.
  return static_cast<std::int64_t>(
    ranks <= kUrgencyLevels ? rank : rank * kUrgencyLevels / ranks);
}

} // namespace Acaciavale::Relay
