#include "Driver.h"

#include "VmFiles.h"

#include "Callers/CallerClient.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <filesystem>
#include <mutex>
#include <sstream>
#include <thread>

namespace Acaciavale::History {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStatusPollInterval{ 50 };
constexpr milliseconds kRetryDelay{ 150 };
constexpr milliseconds kRefusalDelay{ 30 };
constexpr long kCallTimeoutMilliseconds = 30'000;
constexpr long kStatusTimeoutMilliseconds = 1000;
constexpr int kMaxAttemptsPerVm = 4;
constexpr std::size_t kSessionsPerThread = 12;
constexpr double kChatShare = 0.5;
constexpr double kStreamShare = 0.7;
constexpr double kNewSessionShare = 0.3;
constexpr std::uint64_t kMaxExtraTokens = 48;
constexpr std::array<const char*, 3> kRequestKinds{ "check",
                                                    "summary",
                                                    "draft" };

std::int64_t Now()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           MonotonicNow().time_since_epoch())
    .count();
}

/// Client-side state of a session.
struct SessionState
{
  std::string mName;
  std::string mToken;
  std::string mTarget;
  const Account* mAccount = nullptr;
};

/// Options, counters and recording shared by all threads of the driver.
class DriverState
{
public:
  explicit DriverState(const DriverOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  const DriverOptions& Options() const { return mOptions; }

  /// Returns the number of the next call, or 0 when the driver should end.
  std::uint64_t NextCallNumber()
  {
    const std::uint64_t number = ++mLastNumber;
    const auto limit = static_cast<std::uint64_t>(mOptions.mAnswerLimit);
    const bool ended = (limit != 0 && mAnsweredCount >= limit) ||
                       (!mOptions.mStopFile.empty() &&
                        std::filesystem::exists(mOptions.mStopFile));
    return ended ? 0 : number;
  }

  void Record(Call aCall)
  {
    mAnsweredCount += aCall.mOutcome == CallOutcome::Answered ? 1 : 0;
    const std::lock_guard lock(mMutex);
    mRecording.mCalls.push_back(std::move(aCall));
  }

  void Record(GenerationObservation aObservation)
  {
    const std::lock_guard lock(mMutex);
    mRecording.mGenerationObservations.push_back(std::move(aObservation));
  }

  Recording ReleaseRecording() { return std::move(mRecording); }

private:
  const DriverOptions& mOptions;
  std::atomic<std::uint64_t> mLastNumber{ 0 };
  std::atomic<std::uint64_t> mAnsweredCount{ 0 };
  std::mutex mMutex;
  Recording mRecording;
};

std::string HeaderValue(const ClientResponse& aResponse, const char* aName)
{
  const auto found = aResponse.mHeaders.find(aName);
  return found == aResponse.mHeaders.end() ? "" : found->second;
}

std::vector<Stage> ParseStages(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<Stage> stages;
  for (Stage stage; in >> stage;) {
    stages.push_back(stage);
  }
  return stages;
}

void ApplyProblem(const std::string& aBody, Call& aCall)
{
  const json problem = json::parse(aBody, nullptr, false);
  aCall.mOutcome = CallOutcome::Refused;
  if (problem.is_object()) {
    aCall.mExecuted = problem.value("ran", "");
    aCall.mReason = problem.value("reason", "");
  }
}

void ApplyChatResponse(const ClientResponse& aResponse, Call& aCall)
{
  const ChatResponse chat = ParseChatResponse(aResponse);
  aCall.mContent = chat.mContent;
  aCall.mCostMicros = chat.mCostMicros;
  aCall.mStages = ParseStages(chat.mStages);
  aCall.mExecuted = chat.mExecuted;
  aCall.mReason = chat.mError;
  if (chat.mComplete) {
    aCall.mOutcome = CallOutcome::Answered;
  }
}

void ApplyServiceResponse(const ClientResponse& aResponse, Call& aCall)
{
  const std::string cost = HeaderValue(aResponse, "x-acaciavale-cost-micros");
  aCall.mOutcome = CallOutcome::Answered;
  aCall.mContent = aResponse.mBody;
  aCall.mCostMicros = cost.empty() ? 0 : std::stoll(cost);
}

/// Sends aRequest, completes aCall with the result, records it and returns the
/// response.
ClientResponse SendAndRecord(DriverState& aState,
                             ClientRequest aRequest,
                             Call& aCall)
{
  aRequest.mTimeoutMilliseconds = kCallTimeoutMilliseconds;
  aCall.mOutcome = CallOutcome::Lost;
  aCall.mStartMicroseconds = Now();
  ClientResponse response = Acaciavale::SendRequest(aRequest);
  aCall.mEndMicroseconds = Now();
  aCall.mStatus = response.mStatus;
  aCall.mRequestId = HeaderValue(response, "x-request-id");
  if (!response.mConnected) {
    aCall.mOutcome = CallOutcome::Refused;
    aCall.mExecuted = "no";
    aCall.mReason = "no connection";
  } else if (response.mTransferred && response.mStatus != 200) {
    ApplyProblem(response.mBody, aCall);
  } else if (aCall.mKind == CallKind::Chat) {
    ApplyChatResponse(response, aCall);
  } else if (response.mTransferred) {
    ApplyServiceResponse(response, aCall);
  }
  if (aCall.mOutcome == CallOutcome::Lost && !response.mTransferred) {
    aCall.mReason = kConnectionCutReason;
  }
  aState.Record(aCall);
  if (aCall.mOutcome == CallOutcome::Refused) {
    std::this_thread::sleep_for(kRefusalDelay);
  }
  return response;
}

/// Sends the calls of randomly chosen accounts one after another.
class CallerThread
{
public:
  CallerThread(DriverState& aState, std::uint64_t aSeed)
    : mState(aState)
    , mRandom(aSeed)
  {
  }

  void Run()
  {
    while (const std::uint64_t number = mState.NextCallNumber()) {
      const auto& accounts = mState.Options().mAccounts;
      const Account& account = accounts[mRandom.Below(accounts.size())];
      if (account.mServiceCalls.empty() || mRandom.Unit() < kChatShare) {
        Chat(account, number);
      } else {
        Service(account, number);
      }
    }
  }

private:
  VmAddresses RandomVm()
  {
    const auto& files = mState.Options().mVmFiles;
    return ReadVmAddresses(files[mRandom.Below(files.size())]);
  }

  Call NewCall(const Account& aAccount, std::uint64_t aNumber, CallKind aKind)
  {
    Call call;
    call.mNumber = aNumber;
    call.mReference = "ref-" + std::to_string(aNumber);
    call.mKind = aKind;
    call.mAccount = aAccount.mName;
    return call;
  }

  SessionState& SessionFor(const Account& aAccount, std::uint64_t aNumber)
  {
    for (SessionState& session : mSessions) {
      if (session.mAccount == &aAccount && mRandom.Unit() >= kNewSessionShare) {
        return session;
      }
    }
    if (mSessions.size() == kSessionsPerThread) {
      mSessions.erase(mSessions.begin());
    }
    const auto& targets = aAccount.mTargets;
    mSessions.push_back({ "session-" + std::to_string(aNumber),
                          "",
                          targets[mRandom.Below(targets.size())],
                          &aAccount });
    return mSessions.back();
  }

  void Chat(const Account& aAccount, std::uint64_t aNumber)
  {
    SessionState& session = SessionFor(aAccount, aNumber);
    const VmAddresses vm = RandomVm();
    Call call = NewCall(aAccount, aNumber, CallKind::Chat);
    call.mVm = vm.mName;
    call.mTarget = session.mTarget;
    call.mSession = session.mName;
    call.mMaxTokens = 4 + static_cast<int>(mRandom.Below(kMaxExtraTokens));
    ClientRequest request;
    request.mAddress = vm.mCallersAddress;
    request.mMethod = "POST";
    request.mPath = "/v1/chat/completions";
    request.mApiKey = aAccount.mApiKey;
    request.mBody =
      MakeChatBody(session.mTarget,
                   "Please see to " + call.mReference + " at once.",
                   mRandom.Unit() < kStreamShare,
                   call.mMaxTokens);
    request.mHeaders.emplace_back(
      "X-Request-Kind", kRequestKinds[mRandom.Below(kRequestKinds.size())]);
    if (!session.mToken.empty()) {
      request.mHeaders.emplace_back("X-Session", session.mToken);
    }
    const ClientResponse response =
      SendAndRecord(mState, std::move(request), call);
    if (call.mOutcome == CallOutcome::Answered) {
      session.mToken = HeaderValue(response, "x-session");
    }
  }

  void Service(const Account& aAccount, std::uint64_t aNumber)
  {
    const auto& calls = aAccount.mServiceCalls;
    const ServiceCall& service = calls[mRandom.Below(calls.size())];
    Call call = NewCall(aAccount,
                        aNumber,
                        service.mRepeatable ? CallKind::Repeatable
                                            : CallKind::NonRepeatable);
    call.mTarget = service.mPath;
    ClientRequest request;
    request.mMethod = service.mMethod;
    request.mPath = service.mPath;
    request.mApiKey = aAccount.mApiKey;
    if (request.mPath.ends_with('*')) {
      request.mPath.pop_back();
      request.mPath += call.mReference;
    }
    if (service.mMethod != "GET") {
      request.mBody = json{ { "name", call.mReference } }.dump();
    }
    if (service.mRepeatable) {
      const VmAddresses vm = RandomVm();
      call.mVm = vm.mName;
      request.mAddress = vm.mCallersAddress;
      SendAndRecord(mState, request, call);
      return;
    }
    call.mIdempotencyKey = "key-of-" + call.mReference;
    request.mHeaders.emplace_back("Idempotency-Key", call.mIdempotencyKey);
    SendDuplicate(request, call);
  }

  /// Sends the request twice, concurrently or in sequence, each time through a
  /// randomly chosen VM.
  void SendDuplicate(const ClientRequest& aRequest, const Call& aCall)
  {
    const std::string& first = RandomVmFile();
    const std::string& second = RandomVmFile();
    if (mRandom.Below(2) == 0) {
      std::thread other(
        [&] { RetryUntilAnswered(mState, aRequest, aCall, first); });
      RetryUntilAnswered(mState, aRequest, aCall, second);
      other.join();
    } else {
      RetryUntilAnswered(mState, aRequest, aCall, first);
      RetryUntilAnswered(mState, aRequest, aCall, second);
    }
  }

  const std::string& RandomVmFile()
  {
    const auto& files = mState.Options().mVmFiles;
    return files[mRandom.Below(files.size())];
  }

  /// Repeats the request with the same idempotency key until it is answered, at
  /// most kMaxAttemptsPerVm times.
  static void RetryUntilAnswered(DriverState& aState,
                                 ClientRequest aRequest,
                                 const Call& aCall,
                                 const std::string& aVmFile)
  {
    for (int attempt = 0; attempt < kMaxAttemptsPerVm; ++attempt) {
      const VmAddresses vm = ReadVmAddresses(aVmFile);
      Call call = aCall;
      call.mVm = vm.mName;
      aRequest.mAddress = vm.mCallersAddress;
      SendAndRecord(aState, aRequest, call);
      if (call.mOutcome == CallOutcome::Answered) {
        return;
      }
      std::this_thread::sleep_for(kRetryDelay);
    }
  }

  DriverState& mState;
  Random mRandom;
  std::vector<SessionState> mSessions;
};

/// Records the settings generation of each VM periodically until aStopped.
void PollGenerations(DriverState& aState, const std::atomic<bool>& aStopped)
{
  while (!aStopped) {
    for (const std::string& file : aState.Options().mVmFiles) {
      const VmAddresses vm = ReadVmAddresses(file);
      ClientRequest request;
      request.mAddress = vm.mOperatorsAddress;
      request.mPath = "/status";
      request.mTimeoutMilliseconds = kStatusTimeoutMilliseconds;
      GenerationObservation observation{ vm.mName, Now(), 0, 0 };
      const ClientResponse response = Acaciavale::SendRequest(request);
      observation.mEndMicroseconds = Now();
      const json status = json::parse(response.mBody, nullptr, false);
      if (response.mTransferred && status.is_object()) {
        observation.mGeneration =
          status.value("settings_generation", std::int64_t{ 0 });
        // NOTE: A VM without settings reports generation 0 and serves no
        //       requests.
        if (observation.mGeneration > 0) {
          aState.Record(observation);
        }
      }
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

} // namespace

Recording RunCallers(const DriverOptions& aOptions)
{
  DriverState state(aOptions);
  std::atomic<bool> stopped{ false };
  std::thread watcher([&] { PollGenerations(state, stopped); });
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aOptions.mThreadCount));
  for (int started = 0; started < aOptions.mThreadCount; ++started) {
    const std::uint64_t seed =
      aOptions.mSeed * 1000 + static_cast<std::uint64_t>(started);
    threads.emplace_back([&state, seed] { CallerThread(state, seed).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  stopped = true;
  watcher.join();
  return state.ReleaseRecording();
}

} // namespace Acaciavale::History
