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

/// A recent copy of the evidence and the roll-outs. It is replaced as a whole,
/// so that decisions read it without a lock.
struct RoutingSnapshot
{
  EvidenceView mEvidence;
  std::vector<RolloutView> mRollouts;
};

/// Time after the start of a VM until its share of the limits is stable.
constexpr auto kLimitShareSettleTime = std::chrono::seconds(9);

/// State shared by all threads of a server. Each member is thread-safe by
/// itself.
struct ServerState
{
  explicit ServerState(std::size_t aBlockingThreads)
    : mBlockingPool(aBlockingThreads)
  {
  }

  NodeSettings mNodeSettings;
  SettingsHolder mSettings;
  /// Settings used instead of those in the store, for trials on one machine;
  /// null otherwise.
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
  /// Threads for blocking calls to the store on behalf of requests.
  asio::thread_pool mBlockingPool;
  std::atomic<std::int64_t> mQueuedBlockingCalls{ 0 };
  std::atomic<std::int64_t> mInFlight{ 0 }; ///< Admitted, unfinished requests.
  std::atomic<bool> mStoreReachable{ false };
  TimePoint mStartTime = MonotonicNow();
  /// Time of the last contact with the store or with a live peer.
  std::atomic<TimePoint> mLastContact{ MonotonicNow() };
  /// Whether this VM has left the entry list but still serves requests.
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mRefusesNewWork{ false };

  /// Whether this VM can serve callers: it has settings and a share of the
  /// limits. Without a share it would refuse every request.
  bool IsReady() const
  {
    // NOTE: While several VMs start, limit epochs replace each other in quick
    //       succession and the share of a VM may appear and vanish. After the
    //       settle time the minimum share is stable.
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
