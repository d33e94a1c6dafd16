#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/AccountShares.h>
#include <Acaciavale/LibRelay/ByteBudget.h>
#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/ClientSession.h>
#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/RelaySettings.h>
#include <Acaciavale/LibRelay/RetryBudget.h>
#include <Acaciavale/LibRelay/TrafficShift.h>
#include <Acaciavale/LibRouting/PromptQuarantine.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Relays requests of callers to endpoints: admission, selection of an
/// endpoint, attempts and the response, according to the operator's settings
/// and the current view of the fleet.
namespace Acaciavale::Relay {

/// The deployment's options for the relay of one VM.
struct RelayOptions
{
  std::string mVmName;        ///< Name of this VM.
  std::string mFailureDomain; ///< Failure domain of this VM.
  /// Maximum age of the settings for requests that need a key. With older
  /// settings, the relay cannot tell whether a key has been revoked.
  Duration mMaximumSettingsAge = std::chrono::seconds(5);
  RetryBudgetOptions mRetryBudget;
  std::size_t mMemoryBytes = 96U << 20; ///< What the process may use.
  /// Cost of an attempt in another failure domain, as time. The traffic of a
  /// request between domains costs as much as some tenths of an engine second
  /// (docs/measurements/platform-days.md).
  Duration mCrossDomainCost = std::chrono::milliseconds(300);
  /// Value of a good answer per thousand requested tokens, in the currency of
  /// the models' cost. A generated token counts as ten.
  double mAnswerValue = 0.25;
  /// Value of the average request per engine second, in the same currency.
  double mEngineSecondValue = 4;
  /// Expected share of good answers by model, from the smallest to the largest.
  /// A route with fewer models uses the last values.
  std::vector<double> mModelQuality{ 0.58, 0.67, 1.0 };

  bool operator==(const RelayOptions&) const = default;
};

/// A snapshot of the fleet, read at one time.
struct FleetView
{
  /// Null before the first read.
  std::shared_ptr<const RelaySettings> mSettings;
  std::vector<EndpointRecord> mEndpoints;
  /// Failure domains whose endpoints get no more requests.
  std::set<std::string> mEvacuatedDomains;
  /// Ordered roll-outs by pool.
  std::map<std::string, TrafficShift> mTrafficShifts;
  /// Names of the VMs that serve callers; empty: only this one is known.
  std::vector<std::string> mServingVms;
  /// Start of the read that returned the snapshot, by SuspendAwareNow.
  TimePoint mReadStartedAt{};
};

/// What a VM knows of prompts that crash endpoints, as VMs exchange it.
struct CrashReport
{
  CrashEvidence mEvidence;
  std::vector<QuarantinedPrompt> mQuarantine;

  auto operator<=>(const CrashReport&) const = default;
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

  /// Applies a newer view. Settings of an older version than the current one
  /// are ignored, so that settings never revert.
  void Apply(FleetView aView);

  /// Notifies the relay that the VM was asked to stop, and that requests which
  /// are still open aOpenTime later will be ended.
  void NotifyStop(Duration aOpenTime);

  /// Ends all open requests, as the VM's process is about to exit. A request
  /// that was not passed on is refused, a stream is broken off, and all others
  /// get a response that promises nothing.
  void EndOpenRequests();

  /// Notifies the relay that a read of the fleet failed and that the next one
  /// starts in aNextReadIn. Requests that wait for a view are refused if the
  /// wait is no use any more.
  void NotifySnapshotFailed(Duration aNextReadIn);

  /// Serves the open request of the session.
  void Serve(const std::shared_ptr<ClientSession>& aSession);

  /// Whether the settings are recent enough to accept requests with keys.
  bool IsReady() const;

  /// Grows the hold for the body of a request to aBytes. Returns false if there
  /// is no room for it, or not for a request of its account and urgency.
  bool HoldBody(const RequestHead& aHead, ByteHold& aHold, std::size_t aBytes);

  RequestBounds Bounds() const;
  /// Number of requests without a final response, or whose endpoint has
  /// answered and does not have all of the body.
  std::size_t OpenRequests() const;

  /// The evidence of this VM on both versions of the roll-outs, by pool.
  std::map<std::string, TrafficShiftEvidence> Evidence() const;

  /// The loads that endpoints reported to this or another VM within aAge.
  std::vector<LoadReport> LoadReportsWithin(Duration aAge) const;
  /// Applies the loads that endpoints reported to other VMs, if newer.
  void ApplyLoadReports(const std::vector<LoadReport>& aReports);

  /// The recent work of accounts that this VM started.
  AccountWorkReport AccountWorkOfThisVm() const;
  /// The recent work of accounts at this VM and all that report to it, except
  /// the VM with the given name, for the answer to that VM.
  AccountWorkReport AccountWorkFor(const std::string& aVm) const;
  /// Keeps what the VM has told of its own work, in place of its last report.
  void ApplyAccountWorkOf(const std::string& aVm, AccountWorkReport aReport);
  /// Keeps the sum that another VM has told, counted at aAsOf.
  void ApplyAccountWorkSum(AccountWorkReport aReport, TimePoint aAsOf);

  /// Sets a handler that is called after an endpoint has stated in a response
  /// what other VMs should know.
  void OnAnnouncement(std::function<void()> aHandler);
  /// What endpoints have stated to this or another VM.
  std::vector<AnnouncementReport> Announcements() const;
  /// Applies what endpoints have stated to other VMs, if later.
  void ApplyAnnouncements(const std::vector<AnnouncementReport>& aReports);

  /// Sets a handler that is called after an endpoint has ended under requests
  /// of this VM.
  void OnCrashEvidence(std::function<void()> aHandler);
  CrashReport Crashes() const;
  /// Adds what another VM knows. Returns whether anything changed.
  bool MergeCrashes(const CrashReport& aReport);
  /// Quarantines the prompts that the evidence shows to crash endpoints, and
  /// returns those that are new. aTrustedSpan as for FindPromptsToQuarantine.
  std::vector<QuarantinedPrompt> JudgePrompts(Duration aTrustedSpan);
  /// Ends the quarantine of a prompt. Crashes until now no longer count.
  void ClearPrompt(const QuarantinedPrompt& aPrompt);

  /// Counts a value of an entry of the store that could not be decoded.
  void CountUndecodableEntry();

  /// Counts a handler of the loop that ended by an exception.
  void RecordFailedHandler();

  /// Counters and latencies in the Prometheus text format.
  std::string MetricsText() const;

private:
  /// Continues or refuses the requests that wait for a view, or lets them wait.
  void ReviewWaiting();

  std::shared_ptr<RelayState> mState;
};

} // namespace Acaciavale::Relay
