#pragma once

#include <Acaciavale/LibCore/Money.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The effective settings: the values in force after inheritance is resolved. A
/// Settings object is built once, shared as const and never changed. Members
/// are named after their settings keys; SettingsTable.cpp describes each key.
namespace Acaciavale {

/// Stage of a version's life cycle.
enum class VersionState
{
  Serving,   ///< Serves new and existing sessions.
  Retiring,  ///< Serves existing sessions only.
  Withdrawn, ///< Serves no requests.
};

struct VersionSettings
{
  std::string mName;
  VersionState mState = VersionState::Serving;
  TokenPrice mInputPrice;
  TokenPrice mOutputPrice;
  double mPriorQuality = 0.5; ///< Expected share of good answers, 0 to 1.
  /// Number of ratings that the prior quality counts as.
  std::int64_t mPriorWeight = 20;
  Duration mFirstToken{}; ///< Expected time to the first token.
  Duration mPerToken{};   ///< Expected time between tokens.

  auto operator<=>(const VersionSettings&) const = default;
};

struct ModelSettings
{
  std::string mName;
  std::vector<VersionSettings> mVersions; ///< In file order.

  auto operator<=>(const ModelSettings&) const = default;
};

/// One stage of a cascade; an empty version means any permitted version.
struct CascadeStage
{
  std::string mModel;
  std::string mVersion;

  auto operator<=>(const CascadeStage&) const = default;
};

struct CascadeSettings
{
  std::string mName;
  std::vector<CascadeStage> mStages; ///< Ordered by cost, cheapest first.
  /// Confidence below which the next stage runs.
  double mAcceptConfidence = 0.8;

  auto operator<=>(const CascadeSettings&) const = default;
};

/// Scheduling classes, most urgent first.
enum class Priority
{
  Urgent,      ///< Currency and catalogue look-ups.
  Interactive, ///< A person is waiting for the answer.
  Batch,       ///< Long drafts and summaries.
};

struct ClientAccountSettings
{
  std::string mName;
  std::string mKeySalt; ///< Salt of the key, hexadecimal.
  std::string mKeyHash; ///< SHA-256 of salt and key, hexadecimal.
  /// Salt of the old key, which is accepted during key rotation; empty if there
  /// is no old key.
  std::string mOldKeySalt;
  std::string mOldKeyHash;
  /// Models and cascades that the account may request.
  std::vector<std::string> mModels;
  /// Permitted "model/version" names; empty permits all.
  std::vector<std::string> mVersions;
  std::vector<std::string> mServices; ///< Plain services that it may call.
  double mQualityTarget = 0.8;        ///< Required share of good answers.
  double mRequestsPerSecond = 100;    ///< Limit over the whole deployment.
  /// Requests in a burst, over the whole deployment.
  std::int64_t mBurst = 200;
  /// Requests in flight, over the whole deployment.
  std::int64_t mMaxInFlight = 200;
  Priority mPriority = Priority::Interactive;

  auto operator<=>(const ClientAccountSettings&) const = default;
};

/// One route of a plain service. A '*' at the end of the path matches any rest.
struct ServiceRoute
{
  std::string mMethod;
  std::string mPath;
  bool mRepeatable = false; ///< Whether a call may be sent twice.
  Duration mDeadline = std::chrono::seconds(5); ///< Maximum duration of a call.
  Priority mPriority = Priority::Interactive;

  auto operator<=>(const ServiceRoute&) const = default;
};

struct ServiceSettings
{
  std::string mName;
  std::vector<ServiceRoute> mRoutes;
  Money mPricePerCall;

  auto operator<=>(const ServiceSettings&) const = default;
};

/// A roll-out that replaces one version of a model by another.
struct RolloutSettings
{
  std::string mName;
  std::string mModel;
  std::string mFrom; ///< Version that is replaced.
  std::string mTo;   ///< Version that replaces it.
  /// Share of new sessions at each step, increasing.
  std::vector<double> mSteps;
  std::int64_t mMinimumSamples = 200; ///< Answers required to pass a step.
  /// Bad answers over the fleet that halt the roll-out.
  std::int64_t mExposureBudget = 50;
  double mMaxErrorIncrease = 0.02; ///< Increase in the share of failed answers.
  double mMaxQualityDrop = 0.02;   ///< Drop in the share of good ratings.
  /// Ratio to the latency of the replaced version.
  double mMaxLatencyRatio = 1.3;
  bool mPaused = false;

  auto operator<=>(const RolloutSettings&) const = default;
};

struct ObjectiveSettings
{
  std::string mAccount;         ///< Empty for all accounts.
  std::string mModel;           ///< Empty for all models.
  double mAvailability = 0.999; ///< Share of requests answered.
  /// Maximum time to the first token.
  Duration mFirstToken = std::chrono::milliseconds(1100);
  /// Maximum mean time between the tokens of an answer.
  Duration mBetweenTokens = std::chrono::milliseconds(26);
  double mLatencyShare = 0.95; ///< Share of answers that meet both times.
  double mQuality = 0.8;       ///< Share of ratings that are good.

  auto operator<=>(const ObjectiveSettings&) const = default;
};

/// Settings of the whole deployment.
struct DeploymentSettings
{
  std::string mName;
  std::string mCurrency = "EUR";
  /// Maximum duration of a request to a model.
  Duration mRequestDeadline = std::chrono::seconds(60);
  /// How long callers cache the list of entry addresses.
  Duration mEntryTimeToKeep = std::chrono::seconds(10);
  /// How long the outcome of a non-repeatable call is kept.
  Duration mClaimRetention = std::chrono::hours(72);
  /// How long a VM keeps serving while it reaches neither the store nor a peer.
  Duration mIsolatedServing = std::chrono::seconds(60);
  double mRetryBudget = 0.1; ///< Maximum ratio of retries to requests.
  /// Maximum ratio of hedges to repeatable look-ups.
  double mHedgeBudget = 0.05;
  double mEjectionCeiling = 0.34; ///< Share of a pool that may be ejected.
  std::int64_t mMaxBodyBytes = 1 << 20; ///< Maximum size of a request body.
  std::int64_t mMaxConnections = 4096;  ///< Caller connections per VM.
  /// Key that signs session tokens, hexadecimal; never shown.
  std::string mSessionKey;
  /// Previous session key, accepted during key rotation; empty if there is
  /// none.
  std::string mOldSessionKey;

  auto operator<=>(const DeploymentSettings&) const = default;
};

/// All effective settings. Each map is keyed by the name of the entry.
struct Settings
{
  std::int64_t mGeneration = 0; ///< 0 until settings are applied.
  std::string mDigest;          ///< SHA-256 of the files, hexadecimal.
  DeploymentSettings mDeployment;
  std::map<std::string, ModelSettings> mModels;
  std::map<std::string, CascadeSettings> mCascades;
  std::map<std::string, ClientAccountSettings> mAccounts;
  std::map<std::string, ServiceSettings> mServices;
  std::map<std::string, RolloutSettings> mRollouts;
  std::vector<ObjectiveSettings> mObjectives;

  auto operator<=>(const Settings&) const = default;
};

/// Returns the version, or null if there is none.
const VersionSettings* FindVersion(const Settings& aSettings,
                                   const std::string& aModel,
                                   const std::string& aVersion);

/// Returns whether the account's models and versions permit this version,
/// whatever the version's state.
bool Permits(const ClientAccountSettings& aAccount,
             const std::string& aModel,
             const std::string& aVersion);

} // namespace Acaciavale
