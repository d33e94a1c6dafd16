#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/PromptPace.h>
#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// The endpoints that this VM knows, and what it has seen of each.
namespace Acaciavale::Relay {

/// An endpoint as it describes itself in the platform's list.
struct EndpointRecord
{
  std::string mId;
  std::string mPool;
  std::string mAddress; ///< IP number and port.
  std::string mFailureDomain;
  std::string mVersion; ///< Of its software.
  std::int32_t mSlots = 1;
  bool mLeaving = false;
  /// Start of this lifetime, so that a restart under the same id is seen;
  /// 0 where it is not said.
  std::int64_t mBorn = 0;

  auto operator<=>(const EndpointRecord&) const = default;
};

/// What one send asks of an endpoint.
struct SendWork
{
  std::string mModel;
  std::int64_t mPromptTokens = 0;
  std::int64_t mSharedTokens = 0; ///< Of these, in parts that others share.
  std::int64_t mOutputTokens = 0;
  /// Of the shared parts and the model; 0 where there are none.
  std::uint64_t mSharedHash = 0;

  auto operator<=>(const SendWork&) const = default;
};

/// How long work takes in a pool, smoothed over what this VM saw.
struct PoolPace
{
  PromptPace mPrompts;
  double mQuickPerToken = 0; ///< Seconds a token where little else runs.

  auto operator<=>(const PoolPace&) const = default;
};

/// One lifetime of an endpoint. Sends hold it beyond its place in the book.
struct Endpoint
{
  EndpointRecord mRecord;
  bool mGone = false; ///< No longer in the platform's list.
  std::int32_t mInFlight = 0;
  std::int32_t mWaitingSends = 0;  ///< Of these, without a first event yet.
  std::int64_t mWaitingTokens = 0; ///< In their prompts.
  EndpointHealth mHealth;
  InFlightServiceTime mTurnover;
  double mSlowness = 1; ///< Against the pool's pace.
  TimePoint mSlownessAt{};
  ToldLoad mLoad;
  std::int32_t mInFlightAtLoad = 0;
  std::int32_t mWaitingSendsAtLoad = 0;
  TimePoint mLoadAt{};
  /// Shared parts that this VM sent there, and when it last did.
  std::map<std::uint64_t, TimePoint> mSharedParts;
};

/// How a send ended, for the evidence.
struct SendOutcome
{
  bool mFailed = false;
  bool mCounts = true; ///< False where the endpoint had no part in the end.
  double mFirstSeconds = 0; ///< To the answer or first event; 0 is unknown.
  double mWholeSeconds = 0;

  auto operator<=>(const SendOutcome&) const = default;
};

/// What an endpoint told of its load, to be passed on among VMs.
struct LoadReport
{
  std::string mEndpoint;
  ToldLoad mLoad;
  Duration mAge{};

  auto operator<=>(const LoadReport&) const = default;
};

/// Which endpoint to take.
struct PlaceQuery
{
  std::string mPool;
  SendWork mWork;
  std::string mFailureDomain; ///< This VM's.
  std::uint32_t mLiveVms = 1;
  double mCrossDomainSeconds = 0;
  std::vector<const Endpoint*> mTried;
  /// Whether a version may take the work; all where it is empty.
  std::function<bool(const std::string& aVersion)> mMayTake;
  /// Most sends of this VM that one endpoint has at once.
  std::int32_t mMostInFlight = 0;
};

struct Place
{
  std::shared_ptr<Endpoint> mEndpoint; ///< Null where none may take the work.
  bool mIsFull = false; ///< Endpoints there are, but none has room.
  double mExpectedSeconds = 0;
  std::string_view mReason;
};

class EndpointBook
{
public:
  /// Takes over the platform's list; what was seen of a lifetime stays.
  void Replace(const std::vector<EndpointRecord>& aRecords);

  std::vector<std::shared_ptr<Endpoint>> EndpointsOf(
    const std::string& aPool) const;

  Place Choose(const PlaceQuery& aQuery, Random& aRandom, TimePoint aNow);

  void RecordSend(Endpoint& aEndpoint, const SendWork& aWork, TimePoint aNow);
  void RecordFirstEvent(Endpoint& aEndpoint,
                        const SendWork& aWork,
                        double aSeconds,
                        TimePoint aNow);
  void RecordLoad(Endpoint& aEndpoint, const ToldLoad& aLoad, TimePoint aNow);
  /// What endpoints have told within the time given, here or elsewhere.
  std::vector<LoadReport> LoadsWithin(Duration aAge, TimePoint aNow) const;
  /// Takes over what endpoints told other VMs, where it is newer.
  void TakeLoads(const std::vector<LoadReport>& aReports, TimePoint aNow);
  /// Ends a send; it had its first event or not.
  void RecordEnd(Endpoint& aEndpoint,
                 const SendWork& aWork,
                 bool aHadFirstEvent,
                 const SendOutcome& aOutcome,
                 TimePoint aNow);

  /// Expected seconds to the first event in the pool, on an endpoint at the
  /// pool's pace; 0 where nothing is known.
  double UsualSeconds(const std::string& aPool, const SendWork& aWork) const;

  /// Seconds that the work's prompt takes an engine where little else runs.
  double QuickSeconds(const std::string& aPool, const SendWork& aWork) const;

  /// Smoothed share of their goals that requests wait for their first event in
  /// the pool: what tells whether its engines have time to spare.
  double Strain(const std::string& aPool) const;
  void RecordStrain(const std::string& aPool, double aShareOfGoal);

private:
  /// The pace of the work's model; that of none where nothing is known.
  PoolPace PaceOf(const std::string& aPool, const SendWork& aWork) const;
  void Eject(const std::string& aPool, TimePoint aNow);

  std::map<std::string, std::shared_ptr<Endpoint>> mEndpoints;
  std::map<std::pair<std::string, std::string>, PoolPace> mPaces;
  std::map<std::string, double> mStrain; ///< By pool.
};

} // namespace Acaciavale::Relay
