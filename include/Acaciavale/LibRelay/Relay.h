#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/ClientSession.h>
#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/RelaySettings.h>
#include <Acaciavale/LibRelay/RetryBudget.h>
#include <Acaciavale/LibRelay/TrafficShift.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Relays callers' requests to endpoints: admits, chooses, sends, relays and
/// settles each, by the settings and the fleet that it is told.
namespace Acaciavale::Relay {

/// What the deployment sets for one VM's relay.
struct RelayOptions
{
  std::string mFailureDomain;
  /// A request with a key is taken only while the settings are known to have
  /// been the newest this long ago or later.
  Duration mMaximumSettingsAge = std::chrono::seconds(5);
  RetryBudgetOptions mRetryBudget;
  /// What a send out of this VM's failure domain costs, as time: the bytes of
  /// a request between domains are priced like some tenths of an engine's
  /// second (docs/measurements/platform-days.md).
  Duration mCrossDomainCost = std::chrono::milliseconds(300);
  /// Value of a good answer, in the money of the models' cost, for each
  /// thousand tokens asked (a generated one counts as ten).
  double mAnswerValue = 0.25;
  /// What the usual requests are worth for each second of an engine.
  double mEngineSecondValue = 4;
  /// Expected share of good answers by model, smallest first, until there is
  /// evidence; a route with fewer models takes the last ones.
  std::vector<double> mModelQuality{ 0.58, 0.67, 1.0 };

  bool operator==(const RelayOptions&) const = default;
};

/// What this VM knows of the fleet, all read at one time.
struct FleetView
{
  std::shared_ptr<const RelaySettings> mSettings; ///< Null: none yet.
  std::vector<EndpointRecord> mEndpoints;
  std::map<std::string, TrafficShift> mTrafficShifts; ///< Roll-outs by pool.
  std::int64_t mLiveVms = 1;
  /// When the reading of it began, by SuspendAwareNow.
  TimePoint mReadStartedAt{};
};

struct RelayState;

class RequestRelay
{
public:
  RequestRelay(boost::asio::io_context& aLoop,
               WireCodec aCodec,
               RelayOptions aOptions);
  ~RequestRelay();
  RequestRelay(const RequestRelay&) = delete;
  RequestRelay& operator=(const RequestRelay&) = delete;

  void SetOptions(RelayOptions aOptions);

  /// Takes over a newer view. Settings of an older version are left out, so
  /// that they never go back.
  void Apply(FleetView aView);

  /// Says that the fleet can't be read now: what waits for a view is refused at
  /// once, until the next one.
  void NotifySnapshotFailed();

  /// Serves the session's open request.
  void Serve(const std::shared_ptr<ClientSession>& aSession);

  /// Whether requests with keys can be taken now.
  bool IsReady() const;

  RequestBounds Bounds() const;
  std::size_t OpenRequests() const;

  /// What this VM has seen of both versions in each pool's roll-out.
  std::map<std::string, TrafficShiftEvidence> Evidence() const;

  /// What endpoints told of their loads lately, and what they told other VMs.
  std::vector<LoadReport> LoadReportsWithin(Duration aAge) const;
  void ApplyLoadReports(const std::vector<LoadReport>& aReports);

  /// Counters and latencies in the Prometheus text format.
  std::string MetricsText() const;

private:
  std::shared_ptr<RelayState> mState;
};

} // namespace Acaciavale::Relay
