#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the operator has set for relaying requests: one version of it is one
/// immutable value, shared by all requests that started under it.
namespace Acaciavale::Relay {

enum class RequestKind
{
  Repeatable,
  Once, ///< Runs at most once.
  Stream,
};

/// A pool's part of a route's requests.
struct PoolShare
{
  std::string mPool;
  double mWeight = 1;

  auto operator<=>(const PoolShare&) const = default;
};

struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< Begins and ends with a slash.
  RequestKind mKind = RequestKind::Once;
  bool mResumable = false; ///< A stream may go on at another endpoint.
  bool mPublic = false;    ///< Takes requests without a key.
  bool mUsesPromptCache = false;
  Duration mTimeout = std::chrono::seconds(10);
  Duration mFirstEventGoal =
    std::chrono::seconds(1); ///< To the answer or first event.
  Duration mEventGapGoal = std::chrono::seconds(1); ///< Between events.
  std::int64_t mPriority = 0;                       ///< 0 is the most urgent.
  std::int64_t mMaxAttempts = 1;
  std::vector<std::string> mModels; ///< The router's choice, smallest first.
  std::vector<PoolShare> mPools;

  auto operator<=>(const Route&) const = default;
};

struct ModelOffer
{
  std::string mName;
  double mCostPerThousandTokens = 0; ///< Of generated tokens.

  auto operator<=>(const ModelOffer&) const = default;
};

/// Endpoints of one service.
struct Pool
{
  std::string mName;
  std::int64_t mMaxConnections = 0; ///< To one endpoint, from all VMs.
  bool mHasEngines = false;
  std::int64_t mEngineCacheTokens = 0; ///< Memory of one engine.
  std::vector<ModelOffer> mModels;

  auto operator<=>(const Pool&) const = default;
};

struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::int64_t mPriority = 0; ///< Goes before that of the route.

  auto operator<=>(const ClientAccount&) const = default;
};

/// Bounds on what callers send.
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
  std::vector<ClientAccount> mAccounts; ///< None: keys are not asked for.
  RequestBounds mBounds;

  auto operator<=>(const RelaySettings&) const = default;
};

/// The route of the host with the longest prefix of the path, or null.
const Route* FindRoute(const RelaySettings& aSettings,
                       std::string_view aHost,
                       std::string_view aPath);

const Pool* FindPool(const RelaySettings& aSettings, std::string_view aName);

/// The account that holds the key, or null.
const ClientAccount* FindAccount(const RelaySettings& aSettings,
                                 std::string_view aKey);

/// Whether a request of the route may run more than once.
bool MayRepeat(const Route& aRoute);

/// The urgency of a request among all that the settings know, 0 (most urgent)
/// to 9: the account's priority first, then the route's.
std::int64_t UrgencyOf(const RelaySettings& aSettings,
                       const ClientAccount* aAccount,
                       const Route& aRoute);

} // namespace Acaciavale::Relay
