#pragma once

#include "AnswerRatings.h"
#include "DecisionLog.h"
#include "EndpointTable.h"
#include "RequestKinds.h"

#include <Acaciavale/LibAdmission/Admission.h>
#include <Acaciavale/LibBilling/Ledger.h>
#include <Acaciavale/LibClaims/Claims.h>
#include <Acaciavale/LibEndpoint/EndpointClient.h>
#include <Acaciavale/LibMembership/LimitShares.h>
#include <Acaciavale/LibMembership/Membership.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibReport/Metrics.h>
#include <Acaciavale/LibReport/SloCounters.h>
#include <Acaciavale/LibRouting/EvidenceStore.h>
#include <Acaciavale/LibServer/NodeSettings.h>
#include <Acaciavale/LibSettings/SettingsHolder.h>

#include <asio/io_context.hpp>
#include <asio/thread_pool.hpp>
#include <atomic>
#include <memory>

namespace Acaciavale {

/// Evidence and roll-outs as they stood a moment ago, replaced as a whole so
/// that a decision takes no lock over them.
struct RoutingSnapshot
{
  EvidenceView mEvidence;
  std::vector<RolloutView> mRollouts;
};

/// From the start of a VM until its part of the limits no longer comes and
/// goes.
constexpr auto kLimitShareSettleTime = std::chrono::seconds(9);

/// What all threads of a server share. Each part guards itself.
struct ServerState
{
  explicit ServerState(std::size_t aBlockingThreads)
    : mBlockingPool(aBlockingThreads)
  {
  }

  NodeSettings mNodeSettings;
  SettingsHolder mSettings;
  /// For trials on one machine: served in the place of the store's.
  std::shared_ptr<const Settings> mFixedSettings;
  std::atomic<std::shared_ptr<const RoutingSnapshot>> mRoutingSnapshot{
    std::make_shared<const RoutingSnapshot>()
  };
  EndpointTable mEndpoints;
  EvidenceStore mEvidenceStore;
  AnswerRatings mAnswerRatings;
  RequestKinds mRequestKinds;
  AdmissionControl mAdmission;
  AttemptBudget mRetryAttemptBudget;
  AttemptBudget mHedgeAttemptBudget;
  KeyValueStore mStore;
  HeldEntries mHeldEntries;
  std::unique_ptr<Membership> mMembership;
  std::unique_ptr<Billing> mBilling;
  std::unique_ptr<LimitShares> mLimitShares;
  ClaimLeases mClaimLeases;
  OrphanedClaims mOrphanedClaims;
  Metrics mMetrics;
  SloCounters mSloCounters;
  DecisionLog mDecisionLog;
  asio::thread_pool
    mBlockingPool; ///< Calls of the store on behalf of requests.
  std::atomic<std::int64_t> mQueuedBlockingCalls{ 0 };
  std::atomic<std::int64_t> mInFlight{ 0 };
  std::atomic<bool> mStoreReachable{ false };
  const TimePoint mStartTime = MonotonicNow();
  /// When this VM last heard the store or a peer that sees it.
  std::atomic<TimePoint> mLastContact{ MonotonicNow() };
  std::atomic<bool> mDraining{ false };       ///< Off the list, serving on.
  std::atomic<bool> mRefusesNewWork{ false }; ///< New work is refused.

  /// Whether this VM can serve callers: it has settings and its part of the
  /// limits, without which it would refuse everything.
  bool IsReady() const
  {
    // NOTE: While VMs start together, epochs of limits follow each other and a
    //       part comes and goes; after this time the floor is settled.
    return MonotonicNow() - mStartTime >= kLimitShareSettleTime &&
           CurrentSettings() != nullptr && mLimitShares->Share() > 0;
  }

  /// The settings in force, or null before there are any.
  std::shared_ptr<const Settings> CurrentSettings() const
  {
    return mFixedSettings ? mFixedSettings : mSettings.Current();
  }
};

/// One thread that serves callers, with its io_context.
struct ServerShard
{
  ServerShard(ServerState& aServer, std::uint64_t aSeed)
    : mServer(aServer)
    , mClient(mContext)
    , mRandom(aSeed)
  {
  }

  ServerState& mServer;
  asio::io_context mContext{ 1 };
  EndpointClient mClient;
  Random mRandom;
};

} // namespace Acaciavale
