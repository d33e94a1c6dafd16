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

constexpr milliseconds kStatusPause{ 50 };
constexpr milliseconds kRetryPause{ 150 };
constexpr milliseconds kRefusedPause{ 30 };
constexpr long kCallTimeoutMilliseconds = 30'000;
constexpr long kStatusTimeoutMilliseconds = 1000;
constexpr int kTriesPerVm = 4;
constexpr std::size_t kSessionsPerThread = 12;
constexpr double kChatShare = 0.5;
constexpr double kStreamShare = 0.7;
constexpr double kNewSessionShare = 0.3;
constexpr std::uint64_t kMostTokens = 48;
constexpr std::array<const char*, 3> kKinds{ "check", "summary", "draft" };

std::int64_t Now()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           MonotonicNow().time_since_epoch())
    .count();
}

/// A session as its caller carries it along.
struct CarriedSession
{
  std::string mName;
  std::string mToken;
  std::string mTarget;
  const Account* mAccount = nullptr;
};

/// What all threads share.
class Shared
{
public:
  explicit Shared(const DriverOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  const DriverOptions& Options() const { return mOptions; }

  /// The number of the next call, or 0 at the end.
  std::uint64_t NextNumber()
  {
    const std::uint64_t number = ++mLastNumber;
    const auto most = static_cast<std::uint64_t>(mOptions.mCalls);
    const bool over = (most != 0 && mAnswered >= most) ||
                      (!mOptions.mUntilFile.empty() &&
                       std::filesystem::exists(mOptions.mUntilFile));
    return over ? 0 : number;
  }

  void Record(Call aCall)
  {
    mAnswered += aCall.mOutcome == CallOutcome::Answered ? 1 : 0;
    const std::lock_guard lock(mMutex);
    mRecording.mCalls.push_back(std::move(aCall));
  }

  void Record(GenerationSeen aSeen)
  {
    const std::lock_guard lock(mMutex);
    mRecording.mGenerations.push_back(std::move(aSeen));
  }

  Recording Take() { return std::move(mRecording); }

private:
  const DriverOptions& mOptions;
  std::atomic<std::uint64_t> mLastNumber{ 0 };
  std::atomic<std::uint64_t> mAnswered{ 0 };
  std::mutex mMutex;
  Recording mRecording;
};

std::string HeaderOf(const CallerAnswer& aAnswer, const char* aName)
{
  const auto found = aAnswer.mHeaders.find(aName);
  return found == aAnswer.mHeaders.end() ? "" : found->second;
}

std::vector<Stage> StagesOf(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<Stage> stages;
  for (Stage stage; in >> stage;) {
    stages.push_back(stage);
  }
  return stages;
}

void TakeProblem(const std::string& aBody, Call& aCall)
{
  const json problem = json::parse(aBody, nullptr, false);
  aCall.mOutcome = CallOutcome::Refused;
  if (problem.is_object()) {
    aCall.mRan = problem.value("ran", "");
    aCall.mReason = problem.value("reason", "");
  }
}

void TakeChat(const CallerAnswer& aAnswer, Call& aCall)
{
  const ChatAnswer chat = ReadChatAnswer(aAnswer);
  aCall.mContent = chat.mContent;
  aCall.mCostMicros = chat.mCostMicros;
  aCall.mStages = StagesOf(chat.mStages);
  aCall.mRan = chat.mRan;
  aCall.mReason = chat.mError;
  if (chat.mWhole) {
    aCall.mOutcome = CallOutcome::Answered;
  }
}

void TakeService(const CallerAnswer& aAnswer, Call& aCall)
{
  const std::string cost = HeaderOf(aAnswer, "x-acaciavale-cost-micros");
  aCall.mOutcome = CallOutcome::Answered;
  aCall.mContent = aAnswer.mBody;
  aCall.mCostMicros = cost.empty() ? 0 : std::stoll(cost);
}

/// Makes the call that aCall describes, records it and returns the answer.
CallerAnswer Make(Shared& aShared, CallerCall aRequest, Call& aCall)
{
  aRequest.mTimeoutMilliseconds = kCallTimeoutMilliseconds;
  aCall.mOutcome = CallOutcome::Lost;
  aCall.mStart = Now();
  CallerAnswer answer = Acaciavale::Call(aRequest);
  aCall.mEnd = Now();
  aCall.mStatus = answer.mStatus;
  aCall.mRequest = HeaderOf(answer, "x-request-id");
  if (!answer.mConnected) {
    aCall.mOutcome = CallOutcome::Refused;
    aCall.mRan = "no";
    aCall.mReason = "no connection";
  } else if (answer.mTransferred && answer.mStatus != 200) {
    TakeProblem(answer.mBody, aCall);
  } else if (aCall.mKind == CallKind::Chat) {
    TakeChat(answer, aCall);
  } else if (answer.mTransferred) {
    TakeService(answer, aCall);
  }
  if (aCall.mOutcome == CallOutcome::Lost && !answer.mTransferred) {
    aCall.mReason = kCutReason;
  }
  aShared.Record(aCall);
  if (aCall.mOutcome == CallOutcome::Refused) {
    std::this_thread::sleep_for(kRefusedPause);
  }
  return answer;
}

/// One caller after another, in a thread of its own.
class Callers
{
public:
  Callers(Shared& aShared, std::uint64_t aSeed)
    : mShared(aShared)
    , mRandom(aSeed)
  {
  }

  void Run()
  {
    while (const std::uint64_t number = mShared.NextNumber()) {
      const auto& accounts = mShared.Options().mAccounts;
      const Account& account = accounts[mRandom.Below(accounts.size())];
      if (account.mServiceCalls.empty() || mRandom.Unit() < kChatShare) {
        Chat(account, number);
      } else {
        Service(account, number);
      }
    }
  }

private:
  VmAddresses AnyVm()
  {
    const auto& files = mShared.Options().mVmFiles;
    return ReadVm(files[mRandom.Below(files.size())]);
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

  CarriedSession& SessionFor(const Account& aAccount, std::uint64_t aNumber)
  {
    for (CarriedSession& session : mSessions) {
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
    CarriedSession& session = SessionFor(aAccount, aNumber);
    const VmAddresses vm = AnyVm();
    Call call = NewCall(aAccount, aNumber, CallKind::Chat);
    call.mVm = vm.mName;
    call.mTarget = session.mTarget;
    call.mSession = session.mName;
    call.mMaxTokens = 4 + static_cast<int>(mRandom.Below(kMostTokens));
    CallerCall request;
    request.mAddress = vm.mCallers;
    request.mMethod = "POST";
    request.mPath = "/v1/chat/completions";
    request.mKey = aAccount.mKey;
    request.mBody = ChatBody(session.mTarget,
                             "Please see to " + call.mReference + " at once.",
                             mRandom.Unit() < kStreamShare,
                             call.mMaxTokens);
    request.mHeaders.emplace_back("X-Request-Kind",
                                  kKinds[mRandom.Below(kKinds.size())]);
    if (!session.mToken.empty()) {
      request.mHeaders.emplace_back("X-Session", session.mToken);
    }
    const CallerAnswer answer = Make(mShared, std::move(request), call);
    if (call.mOutcome == CallOutcome::Answered) {
      session.mToken = HeaderOf(answer, "x-session");
    }
  }

  void Service(const Account& aAccount, std::uint64_t aNumber)
  {
    const auto& calls = aAccount.mServiceCalls;
    const ServiceCall& service = calls[mRandom.Below(calls.size())];
    Call call =
      NewCall(aAccount,
              aNumber,
              service.mRepeatable ? CallKind::LookUp : CallKind::NonRepeatable);
    call.mTarget = service.mPath;
    CallerCall request;
    request.mMethod = service.mMethod;
    request.mPath = service.mPath;
    request.mKey = aAccount.mKey;
    if (request.mPath.ends_with('*')) {
      request.mPath.pop_back();
      request.mPath += call.mReference;
    }
    if (service.mMethod != "GET") {
      request.mBody = json{ { "name", call.mReference } }.dump();
    }
    if (service.mRepeatable) {
      const VmAddresses vm = AnyVm();
      call.mVm = vm.mName;
      request.mAddress = vm.mCallers;
      Make(mShared, request, call);
      return;
    }
    call.mIdempotencyKey = "key-of-" + call.mReference;
    request.mHeaders.emplace_back("Idempotency-Key", call.mIdempotencyKey);
    Twice(request, call);
  }

  /// At the same time or one after the other, by way of any two VMs.
  void Twice(const CallerCall& aRequest, const Call& aCall)
  {
    const std::string& first = AnyVmFile();
    const std::string& second = AnyVmFile();
    if (mRandom.Below(2) == 0) {
      std::thread other([&] { Insist(mShared, aRequest, aCall, first); });
      Insist(mShared, aRequest, aCall, second);
      other.join();
    } else {
      Insist(mShared, aRequest, aCall, first);
      Insist(mShared, aRequest, aCall, second);
    }
  }

  const std::string& AnyVmFile()
  {
    const auto& files = mShared.Options().mVmFiles;
    return files[mRandom.Below(files.size())];
  }

  /// Asks again with the same key until there is an answer, a few times.
  static void Insist(Shared& aShared,
                     CallerCall aRequest,
                     const Call& aCall,
                     const std::string& aVmFile)
  {
    for (int attempt = 0; attempt < kTriesPerVm; ++attempt) {
      const VmAddresses vm = ReadVm(aVmFile);
      Call call = aCall;
      call.mVm = vm.mName;
      aRequest.mAddress = vm.mCallers;
      Make(aShared, aRequest, call);
      if (call.mOutcome == CallOutcome::Answered) {
        return;
      }
      std::this_thread::sleep_for(kRetryPause);
    }
  }

  Shared& mShared;
  Random mRandom;
  std::vector<CarriedSession> mSessions;
};

/// Asks the VMs again and again for the generation of their settings.
void WatchGenerations(Shared& aShared, const std::atomic<bool>& aOver)
{
  while (!aOver) {
    for (const std::string& file : aShared.Options().mVmFiles) {
      const VmAddresses vm = ReadVm(file);
      CallerCall request;
      request.mAddress = vm.mOperators;
      request.mPath = "/status";
      request.mTimeoutMilliseconds = kStatusTimeoutMilliseconds;
      GenerationSeen seen{ vm.mName, Now(), 0, 0 };
      const CallerAnswer answer = Acaciavale::Call(request);
      seen.mEnd = Now();
      const json status = json::parse(answer.mBody, nullptr, false);
      if (answer.mTransferred && status.is_object()) {
        seen.mGeneration =
          status.value("settings_generation", std::int64_t{ 0 });
        // NOTE: 0 is a VM that has none yet, and serves nothing.
        if (seen.mGeneration > 0) {
          aShared.Record(seen);
        }
      }
    }
    std::this_thread::sleep_for(kStatusPause);
  }
}

} // namespace

Recording Drive(const DriverOptions& aOptions)
{
  Shared shared(aOptions);
  std::atomic<bool> over{ false };
  std::thread watcher([&] { WatchGenerations(shared, over); });
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aOptions.mThreads));
  for (int started = 0; started < aOptions.mThreads; ++started) {
    const std::uint64_t seed =
      aOptions.mSeed * 1000 + static_cast<std::uint64_t>(started);
    threads.emplace_back([&shared, seed] { Callers(shared, seed).Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  over = true;
  watcher.join();
  return shared.Take();
}

} // namespace Acaciavale::History
