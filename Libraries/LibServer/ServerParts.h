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
struct Knowledge
{
  EvidenceView mEvidence;
  std::vector<RolloutView> mRollouts;
};

/// From the start of a VM until its part of the limits no longer comes and
/// goes.
constexpr auto kLimitsSettle = std::chrono::seconds(9);

/// What all threads of a server share. Each part guards itself.
struct ServerParts
{
  explicit ServerParts(std::size_t aBlockingThreads)
    : mBlocking(aBlockingThreads)
  {
  }

  NodeSettings mNode;
  SettingsHolder mSettings;
  /// For trials on one machine: served in the place of the store's.
  std::shared_ptr<const Settings> mFixedSettings;
  std::atomic<std::shared_ptr<const Knowledge>> mKnowledge{
    std::make_shared<const Knowledge>()
  };
  EndpointTable mEndpoints;
  EvidenceStore mEvidence;
  AnswerRatings mRatings;
  RequestKinds mKinds;
  AdmissionControl mAdmission;
  AttemptBudget mRetries;
  AttemptBudget mHedges;
  KeyValueStore mStore;
  HeldEntries mHeld;
  std::unique_ptr<Membership> mMembership;
  std::unique_ptr<Billing> mBilling;
  std::unique_ptr<LimitShares> mLimits;
  ClaimLeases mClaimLeases;
  OrphanedClaims mOrphanedClaims;
  Metrics mMetrics;
  SloCounters mObjectives;
  DecisionLog mDecisions;
  asio::thread_pool mBlocking; ///< Calls of the store on behalf of requests.
  std::atomic<std::int64_t> mBlockingQueued{ 0 };
  std::atomic<std::int64_t> mInFlight{ 0 };
  std::atomic<bool> mSeesStore{ false };
  const TimePoint mStarted = MonotonicNow();
  /// When this VM last heard the store or a peer that sees it.
  std::atomic<TimePoint> mLastHeard{ MonotonicNow() };
  std::atomic<bool> mDraining{ false }; ///< Off the list, serving on.
  std::atomic<bool> mRefusing{ false }; ///< New work is refused.

  /// Whether this VM can serve callers: it has settings and its part of the
  /// limits, without which it would refuse everything.
  bool IsReady() const
  {
    // NOTE: While VMs start together, epochs of limits follow each other and a
    //       part comes and goes; after this time the floor is settled.
    return MonotonicNow() - mStarted >= kLimitsSettle &&
           CurrentSettings() != nullptr && mLimits->Share() > 0;
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
  ServerShard(ServerParts& aParts, std::uint64_t aSeed)
    : mParts(aParts)
    , mClient(mContext)
    , mRandom(aSeed)
  {
  }

  ServerParts& mParts;
  asio::io_context mContext{ 1 };
  EndpointClient mClient;
  Random mRandom;
};

} // namespace Acaciavale
