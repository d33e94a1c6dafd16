#pragma once

#include <Acaciavale/LibCore/Money.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The effective settings: what the tree says once inheritance is worked out.
/// A value of this type is built once, shared as const and never changed.
namespace Acaciavale {

/// How far a version is in its life.
enum class VersionState
{
  Serving,   ///< Takes new sessions and old.
  Retiring,  ///< Keeps the sessions that it has and takes no new one.
  Withdrawn, ///< Takes no work at all.
};

struct VersionSettings
{
  std::string mName;
  VersionState mState = VersionState::Serving;
  TokenPrice mInputPrice;
  TokenPrice mOutputPrice;
  double mPriorQuality = 0.5; ///< Expected share of good answers, 0 to 1.
  std::int64_t mPriorWeight =
    20;                   ///< Ratings that the prior quality counts for.
  Duration mFirstToken{}; ///< Expected time to the first token.
  Duration mPerToken{};   ///< Expected time between tokens.

  auto operator<=>(const VersionSettings&) const = default;
};

struct ModelSettings
{
  std::string mName;
  std::vector<VersionSettings> mVersions; ///< In the order of the files.

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
  std::vector<CascadeStage> mStages; ///< Cheapest first.
  double mAcceptConfidence = 0.8;    ///< Below it the next stage runs.

  auto operator<=>(const CascadeSettings&) const = default;
};

/// Scheduling classes, most urgent first.
enum class Priority
{
  Urgent,      ///< Currency and catalogue look-ups.
  Interactive, ///< Somebody waits at a desk.
  Batch,       ///< Long drafts and summaries.
};

struct ClientAccountSettings
{
  std::string mName;
  std::string mKeySalt;    ///< Hexadecimal.
  std::string mKeyHash;    ///< SHA-256 of salt and key, hexadecimal.
  std::string mOldKeySalt; ///< Accepted too while a key is rotated, or empty.
  std::string mOldKeyHash;
  std::vector<std::string> mModels;   ///< Models and cascades it may name.
  std::vector<std::string> mVersions; ///< "model/version"; empty allows all.
  std::vector<std::string> mServices;
  double mQualityTarget = 0.8;
  double mRequestsPerSecond = 100; ///< Over the whole deployment.
  std::int64_t mBurst = 200;       ///< Requests, over the whole deployment.
  std::int64_t mMaxInFlight = 200; ///< Requests, over the whole deployment.
  Priority mPriority = Priority::Interactive;

  auto operator<=>(const ClientAccountSettings&) const = default;
};

/// One route of a plain service; '*' at the end of a path matches the rest.
struct ServiceRoute
{
  std::string mMethod;
  std::string mPath;
  bool mRepeatable = false; ///< Whether a call may be sent twice.
  Duration mDeadline = std::chrono::seconds(5);
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

/// A roll-out of one version in the place of another.
struct RolloutSettings
{
  std::string mName;
  std::string mModel;
  std::string mFrom;
  std::string mTo;
  std::vector<double> mSteps;         ///< Shares of new sessions, rising.
  std::int64_t mMinimumSamples = 200; ///< Answers before a step is passed.
  std::int64_t mExposureBudget = 50;  ///< Bad answers over the fleet.
  double mMaxErrorIncrease = 0.02;    ///< Share of answers.
  double mMaxQualityDrop = 0.02;      ///< Share of ratings.
  double mMaxLatencyRatio = 1.3;      ///< Against the version replaced.
  bool mPaused = false;

  auto operator<=>(const RolloutSettings&) const = default;
};

struct ObjectiveSettings
{
  std::string mAccount; ///< Empty for all.
  std::string mModel;   ///< Empty for all.
  double mAvailability = 0.999;
  Duration mFirstToken = std::chrono::milliseconds(1100);
  Duration mBetweenTokens = std::chrono::milliseconds(26);
  double mLatencyShare = 0.95;
  double mQuality = 0.8;

  auto operator<=>(const ObjectiveSettings&) const = default;
};

/// Limits and times of the whole deployment.
struct DeploymentSettings
{
  std::string mName;
  std::string mCurrency = "EUR";
  Duration mRequestDeadline = std::chrono::seconds(60);
  Duration mEntryTimeToKeep = std::chrono::seconds(10);
  Duration mClaimRetention = std::chrono::hours(72);
  Duration mIsolatedServing = std::chrono::seconds(
    60); ///< How long a VM serves that hears neither store nor peers.
  double mRetryBudget = 0.1;      ///< Retries per request, at most.
  double mHedgeBudget = 0.05;     ///< Hedges per idempotent look-up, at most.
  double mEjectionCeiling = 0.34; ///< Share of a pool that may be ejected.
  std::int64_t mMaxBodyBytes = 1 << 20;
  std::int64_t mMaxConnections = 4096; ///< Per VM.
  std::string mSessionKey;             ///< Hexadecimal; never shown.
  std::string mOldSessionKey; ///< Accepted while keys are changed, or empty.

  auto operator<=>(const DeploymentSettings&) const = default;
};

/// The whole of the effective settings. Names map to their settings.
struct Settings
{
  std::int64_t mGeneration = 0; ///< 0 is: none applied yet.
  std::string mDigest;
  DeploymentSettings mDeployment;
  std::map<std::string, ModelSettings> mModels;
  std::map<std::string, CascadeSettings> mCascades;
  std::map<std::string, ClientAccountSettings> mAccounts;
  std::map<std::string, ServiceSettings> mServices;
  std::map<std::string, RolloutSettings> mRollouts;
  std::vector<ObjectiveSettings> mObjectives;

  auto operator<=>(const Settings&) const = default;
};

/// Finds a version, or null.
const VersionSettings* FindVersion(const Settings& aSettings,
                                   const std::string& aModel,
                                   const std::string& aVersion);

/// Whether the account may use this version of this model at all.
bool Permits(const ClientAccountSettings& aAccount,
             const std::string& aModel,
             const std::string& aVersion);

} // namespace Acaciavale
