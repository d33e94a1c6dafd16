#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operator's settings for relaying requests. Each version is an immutable
/// value, shared by all requests that started with it.
namespace Acaciavale::Relay {

enum class RequestKind
{
  Repeatable, ///< The request may be executed more than once.
  Once,       ///< The request must be executed at most once.
  Stream,     ///< The response is a stream of events.
};

/// A pool with its share of the requests of a route.
struct PoolShare
{
  std::string mPool;
  double mWeight = 1; ///< Share relative to the sum of the route's weights.

  auto operator<=>(const PoolShare&) const = default;
};

struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< Prefix that starts and ends with a slash.
  RequestKind mKind = RequestKind::Once;
  bool mResumable = false; ///< Whether streams may resume elsewhere.
  bool mPublic = false;    ///< Whether requests need no key.
  bool mUsesPromptCache = false;
  Duration mTimeout = std::chrono::seconds(10);
  /// Goal for the time to the response or the first event.
  Duration mFirstEventGoal = std::chrono::seconds(1);
  /// Goal for the time between two events.
  Duration mEventGapGoal = std::chrono::seconds(1);
  std::int64_t mPriority = 0; ///< Priority; 0 is the most urgent.
  std::int64_t mMaxAttempts = 1;
  /// Models among which the router chooses, smallest first.
  std::vector<std::string> mModels;
  std::vector<PoolShare> mPools;

  auto operator<=>(const Route&) const = default;
};

/// A model that the engines of a pool offer.
struct ModelOffer
{
  std::string mName;
  double mCostPerThousandTokens = 0; ///< Cost per thousand generated tokens.

  auto operator<=>(const ModelOffer&) const = default;
};

/// The endpoints of one service.
struct Pool
{
  std::string mName;
  /// Limit on the connections of all VMs to one endpoint; 0 for none.
  std::int64_t mMaxConnections = 0;
  /// Requests a second that an endpoint bears while it is cold; 0: as many as
  /// ever.
  double mColdRequestsPerSecond = 0;
  /// Path at which endpoints answer at once with their load; empty: none.
  std::string mHealthPath;
  bool mHasEngines = false;
  /// Capacity of one engine's key-value cache, in tokens.
  std::int64_t mEngineCacheTokens = 0;
  std::vector<ModelOffer> mModels;

  auto operator<=>(const Pool&) const = default;
};

struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  /// Priority, compared before that of the route; 0 is the most urgent.
  std::int64_t mPriority = 0;

  auto operator<=>(const ClientAccount&) const = default;
};

/// Limits on the requests of callers.
struct RequestBounds
{
  std::uint32_t mMaximumHeaderBytes = 16384;
  std::uint64_t mMaximumBodyBytes = 4194304;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);

  auto operator<=>(const RequestBounds&) const = default;
};

struct RelaySettings
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Pool> mPools;
  /// Whether requests need a key, unless their route is public. If so and there
  /// is no account, no key is valid.
  bool mRequiresKeys = false;
  std::vector<ClientAccount> mAccounts;
  RequestBounds mBounds;

  auto operator<=>(const RelaySettings&) const = default;
};

/// The route of the host with the longest matching path prefix, or null.
const Route* FindRoute(const RelaySettings& aSettings,
                       std::string_view aHost,
                       std::string_view aPath);

const Pool* FindPool(const RelaySettings& aSettings, std::string_view aName);

/// The account that holds the key, or null. No account holds an empty key,
/// which is that of requests without one.
const ClientAccount* FindAccount(const RelaySettings& aSettings,
                                 std::string_view aKey);

/// Whether a request of the route may be executed more than once.
bool MayRepeat(const Route& aRoute);

constexpr std::int64_t kLowestUrgency = 9;

/// The urgency of a request, from 0 (most urgent) to 9. Requests are ranked by
/// the priority of the account, then by that of the route, among all priorities
/// in the settings.
std::int64_t UrgencyOf(const RelaySettings& aSettings,
                       const ClientAccount* aAccount,
                       const Route& aRoute);

} // namespace Acaciavale::Relay
