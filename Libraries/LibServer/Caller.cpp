#include "Caller.h"

#include <Acaciavale/LibSettings/SettingsParser.h>
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace Acaciavale {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kMaxAdvisedAddresses = 3;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::int64_t kMaxDeadlineMilliseconds = 600'000;

const ClientAccountSettings* FindAccount(const Settings& aSettings,
                                         const std::string& aKey)
{
  const ClientAccountSettings* found = nullptr;
  // NOTE: The loop has no early exit, so that its duration reveals nothing
  //       about the accounts.
  for (const auto& [name, account] : aSettings.mAccounts) {
    if (KeyMatches(account, aKey)) {
      found = &account;
    }
  }
  return found;
}

tl::expected<Duration, Problem> RequestedTimeLimit(
  const CallerRequest& aRequest,
  Duration aDefault)
{
  const std::string& text = aRequest.mDeadlineMilliseconds;
  if (text.empty()) {
    return aDefault;
  }
  std::int64_t milliseconds = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool valid = error == std::errc() && end == text.data() + text.size();
  if (!valid || milliseconds <= 0 || milliseconds > kMaxDeadlineMilliseconds) {
    return tl::make_unexpected(
      Problem{ 400,
               "bad-deadline",
               "X-Deadline-Ms is not a number of milliseconds.",
               "Send a whole number from 1 to 600000.",
               Executed::No });
  }
  return std::min<Duration>(aDefault, std::chrono::milliseconds(milliseconds));
}

/// Whether this VM may have missed a change of settings: it has had no contact
/// with the store or a live peer for longer than the settings permit.
bool IsIsolated(const ServerState& aServer, const Settings& aSettings)
{
  return !aServer.mFixedSettings &&
         MonotonicNow() - aServer.mLastContact.load() >
           aSettings.mDeployment.mIsolatedServing;
}

/// Returns the advice for refused callers: to use the addresses of other VMs,
/// or to retry after the stated time.
std::string OtherVmsAdvice(const ServerState& aServer)
{
  std::string addresses;
  int addressCount = 0;
  for (const Member& member : aServer.mMembership->Members()) {
    const VmState& state = member.mState;
    if (member.mHealth == VmHealth::Alive && !state.mDraining &&
        state.mName != aServer.mNodeSettings.mVmName &&
        addressCount++ < kMaxAdvisedAddresses) {
      addresses += " " + state.mCallerAddress;
    }
  }
  return addresses.empty() ? "Retry after the stated time."
                           : "Use another VM:" + addresses + ".";
}

/// The reason why this VM accepts no requests, or nothing if it accepts them.
std::optional<Problem> NotServingProblem(const ServerState& aServer)
{
  const auto settings = aServer.CurrentSettings();
  Problem problem{
    503, "vm-leaving", "This VM is shutting down and accepts no new requests.",
    "",  Executed::No, std::chrono::seconds(1)
  };
  if (!aServer.mRefusesNewWork) {
    if (!settings || !aServer.IsReady()) {
      problem.mReason = "vm-starting";
      problem.mDetail =
        settings ? "This VM has no share of the limits yet, or has lost it."
                 : "This VM has no settings yet.";
    } else if (IsIsolated(aServer, *settings)) {
      problem.mReason = "vm-isolated";
      problem.mDetail =
        "This VM has lost contact with the store and with all other VMs.";
    } else {
      return std::nullopt;
    }
  }
  problem.mAdvice = OtherVmsAdvice(aServer);
  return problem;
}

Problem WrongKeyProblem()
{
  return Problem{ 401,
                  "wrong-key",
                  "The key does not belong to a client account.",
                  "Send a valid key as 'Authorization: Bearer KEY'.",
                  Executed::No };
}

} // namespace

tl::expected<Caller, Problem> Authenticate(ServerState& aServer,
                                           const CallerRequest& aRequest,
                                           std::string aRequestId)
{
  if (auto problem = NotServingProblem(aServer)) {
    return tl::make_unexpected(std::move(*problem));
  }
  Caller caller;
  caller.mSettings = aServer.CurrentSettings();
  caller.mRequestId = std::move(aRequestId);
  caller.mStartTime = MonotonicNow();
  if (aRequest.mAuthorization.rfind(kBearer, 0) != 0) {
    return tl::make_unexpected(WrongKeyProblem());
  }
  const ClientAccountSettings* account = FindAccount(
    *caller.mSettings, aRequest.mAuthorization.substr(kBearer.size()));
  if (account == nullptr) {
    return tl::make_unexpected(WrongKeyProblem());
  }
  caller.mAccount = *account;
  const auto timeLimit = RequestedTimeLimit(
    aRequest, caller.mSettings->mDeployment.mRequestDeadline);
  if (!timeLimit) {
    return tl::make_unexpected(timeLimit.error());
  }
  caller.mDeadline = caller.mStartTime + *timeLimit;
  return caller;
}

tl::expected<void, Problem> Admit(ServerState& aServer,
                                  const Caller& aCaller,
                                  Priority aPriority,
                                  const PoolLoad& aLoad)
{
  AdmissionQuery query;
  query.mAccount = aCaller.mAccount.mName;
  query.mPriority = aPriority;
  query.mTimeLeft = aCaller.mDeadline - MonotonicNow();
  query.mLimitShare = aServer.mLimitShares->Share();
  query.mLoad = aLoad;
  const AdmissionDecision decision =
    aServer.mAdmission.Start(*aCaller.mSettings, query, MonotonicNow());
  if (decision.mVerdict == AdmissionVerdict::Admit) {
    aServer.mInFlight.fetch_add(1);
    aServer.mRetryAttemptBudget.RecordRequest(
      aCaller.mSettings->mDeployment.mRetryBudget);
    return {};
  }
  const bool overLimit =
    decision.mVerdict == AdmissionVerdict::RateLimitExceeded ||
    decision.mVerdict == AdmissionVerdict::InFlightLimitExceeded;
  aServer.mMetrics.Count("acaciavale_refused_total",
                         { { "account", aCaller.mAccount.mName },
                           { "reason", Describe(decision.mVerdict) } });
  return tl::make_unexpected(Problem{
    overLimit ? 429 : 503,
    Describe(decision.mVerdict),
    "The request was not admitted.",
    "Retry after the stated time.",
    Executed::No,
    std::max<Duration>(decision.mRetryAfter, std::chrono::milliseconds(1)) });
}

void FinishAdmission(ServerState& aServer, const std::string& aAccount)
{
  aServer.mAdmission.Finish(aAccount);
  aServer.mInFlight.fetch_sub(1);
}

PoolLoad EstimatePoolLoad(const ServerState& aServer,
                          const EndpointRecords& aPool)
{
  const TimePoint now = MonotonicNow();
  std::vector<EndpointView> views;
  views.reserve(aPool.size());
  for (const auto& endpoint : aPool) {
    views.push_back(endpoint->View(now));
  }
  const PoolEstimate estimate =
    EstimatePool(views,
                 static_cast<std::uint32_t>(
                   std::max<std::size_t>(1, aServer.mMembership->LiveCount())));
  return PoolLoad{ estimate.mSlots,
                   estimate.mInFlight,
                   estimate.mSecondsPerRequest,
                   estimate.mOwnInFlight,
                   estimate.mOwnSlots };
}

std::string EntriesJson(const ServerState& aServer)
{
  Json entries = Json::array();
  for (const Member& member : aServer.mMembership->Members()) {
    const VmState& state = member.mState;
    if (member.mHealth == VmHealth::Dead || state.mDraining) {
      continue;
    }
    entries.push_back({ { "address", state.mCallerAddress },
                        { "vm", state.mName },
                        { "failure_domain", state.mFailureDomain },
                        { "weight", state.mWeight } });
  }
  const auto settings = aServer.CurrentSettings();
  const Duration keepTime = settings ? settings->mDeployment.mEntryTimeToKeep
                                     : Duration(std::chrono::seconds(1));
  const Json body{ { "entries", entries },
                   { "keep_seconds",
                     std::chrono::duration<double>(keepTime).count() } };
  return body.dump();
}

} // namespace Acaciavale
