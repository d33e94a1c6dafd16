#include "Vms.h"

#include "Endpoints.h"

#include <utility>

namespace Acaciavale::Soak {

using namespace review;

namespace {

/// The grace time that the platform's settings give, and what a process may
/// take beyond it to end.
constexpr double kGraceSeconds = 8;
constexpr double kEndSeconds = 1;

constexpr double kPollSeconds = 0.02;
constexpr double kSignalGapSeconds = 0.05;
constexpr int kRouteTimeoutMs = 12000;

} // namespace

Vms::Vms(Ledger& aLedger, Platform& aPlatform, Store& aStore)
  : mLedger(aLedger)
  , mPlatform(aPlatform)
  , mStore(aStore)
{
}

void Vms::PutSettings()
{
  Json settings = Config({ Route("look",
                                 "/look/",
                                 "idempotent",
                                 Endpoints::kRecords,
                                 kRouteTimeoutMs,
                                 4000,
                                 3),
                           Route("book",
                                 "/book/",
                                 "non_idempotent",
                                 Endpoints::kRecords,
                                 kRouteTimeoutMs,
                                 4000,
                                 3),
                           Route("chat",
                                 "/chat/",
                                 "streaming",
                                 Endpoints::kModel,
                                 kRouteTimeoutMs,
                                 4000,
                                 3) },
                         { Endpoints::kRecords, Endpoints::kModel });
  settings["version"] = ++mSettingsVersion;
  mStore.Put("op/config", settings.dump());
}

void Vms::Start()
{
  PutSettings();
  for (std::size_t number = 0; number < mVms.size(); ++number) {
    mVms[number].mNode =
      &mPlatform.StartNode("vm-" + std::to_string(number),
                           11 + static_cast<int>(number),
                           "zone-" + std::to_string(number % 2),
                           mStore.Address());
  }
  for (Vm& vm : mVms) {
    Platform::AwaitReady(*vm.mNode);
    vm.mIsServing = true;
  }
}

std::string Vms::SettingsPath(const Vm& aVm) const
{
  return mPlatform.Folder() + '/' + aVm.mNode->mName + ".ini";
}

std::optional<Vms::View> Vms::Choose(std::uint64_t aDraw) const
{
  const std::lock_guard lock(mMutex);
  for (std::size_t trial = 0; trial < mVms.size(); ++trial) {
    const std::size_t number = (aDraw + trial) % mVms.size();
    const Vm& vm = mVms[number];
    if (vm.mIsServing) {
      return View{ number,
                   static_cast<int>(vm.mStopTimes.size()),
                   vm.mNode->mFront };
    }
  }
  return {};
}

double Vms::StopTime(const View& aView) const
{
  const std::lock_guard lock(mMutex);
  const std::vector<double>& times = mVms[aView.mNumber].mStopTimes;
  const auto generation = static_cast<std::size_t>(aView.mGeneration);
  return generation < times.size() ? times[generation] : 0;
}

long Vms::PeakKib() const
{
  const std::lock_guard lock(mMutex);
  return mPeakKib;
}

std::optional<std::size_t> Vms::ClaimStop(std::mt19937_64& aRandom)
{
  const std::lock_guard lock(mMutex);
  std::vector<std::size_t> serving;
  for (std::size_t number = 0; number < mVms.size(); ++number) {
    if (mVms[number].mIsServing) {
      serving.push_back(number);
    }
  }
  if (serving.size() < 2) {
    return {};
  }
  const std::size_t number = serving[aRandom() % serving.size()];
  mVms[number].mIsServing = false;
  mVms[number].mStopTimes.push_back(Now());
  return number;
}

void Vms::ReadPeak(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      const std::lock_guard lock(mMutex);
      mPeakKib = std::max(mPeakKib, std::atol(line.c_str() + 6));
    }
  }
}

void Vms::Stop(std::size_t aNumber, bool aRepeats)
{
  Platform::Node& node = *mVms[aNumber].mNode;
  const double stopAt = Now();
  int status = 0;
  // NOTE: A process that has ended keeps its id until it is waited for.
  if (waitpid(node.mPid, &status, WNOHANG) != 0) {
    mLedger.Violation(node.mName +
                      " has ended without being asked to, status " +
                      std::to_string(status));
    node.mPid = -1;
    return;
  }
  kill(node.mPid, SIGTERM);
  if (aRepeats) {
    Sleep(kSignalGapSeconds);
    kill(node.mPid, SIGHUP);
    Sleep(kSignalGapSeconds);
    kill(node.mPid, SIGTERM);
  }
  pid_t ended = 0;
  while (ended == 0 && Now() < stopAt + kGraceSeconds + kEndSeconds) {
    ReadPeak(node.mPid);
    Sleep(kPollSeconds);
    ended = waitpid(node.mPid, &status, WNOHANG);
  }
  if (ended == 0) {
    mLedger.Violation(node.mName + " has not ended " +
                      std::to_string(Now() - stopAt) + " s after SIGTERM");
    kill(node.mPid, SIGKILL);
    waitpid(node.mPid, &status, 0);
  } else if (status != 0) {
    mLedger.Violation(node.mName + " ended with status " +
                      std::to_string(status));
  }
  node.mPid = -1;
  const std::lock_guard lock(mMutex);
  mVms[aNumber].mHasEnded = true;
}

// NOTE: A process ends with the thread that has started it, which is thus the
// one that calls Disturb.
void Vms::Restart()
{
  for (Vm& vm : mVms) {
    {
      const std::lock_guard lock(mMutex);
      if (!std::exchange(vm.mHasEnded, false)) {
        continue;
      }
    }
    Platform::Run(*vm.mNode, SettingsPath(vm));
    mThreads.emplace_back([this, &vm] {
      Platform::AwaitReady(*vm.mNode);
      const std::lock_guard lock(mMutex);
      vm.mIsServing = true;
    });
  }
}

void Vms::Disturb(std::mt19937_64& aRandom)
{
  Restart();
  const std::uint64_t draw = aRandom() % 6;
  if (draw < 3) {
    if (const auto number = ClaimStop(aRandom)) {
      const bool repeats = aRandom() % 3 == 0;
      mThreads.emplace_back(
        [this, number, repeats] { Stop(*number, repeats); });
    }
    return;
  }
  if (draw == 3) {
    PutSettings();
    return;
  }
  // A series of SIGHUP to a VM that serves.
  const auto view = Choose(aRandom());
  if (!view) {
    return;
  }
  const Vm& vm = mVms[view->mNumber];
  std::ofstream(SettingsPath(vm), std::ios::app) << "; changed\n";
  for (std::uint64_t left = 1 + aRandom() % 3; left > 0; --left) {
    kill(vm.mNode->mPid, SIGHUP);
    Sleep(kSignalGapSeconds);
  }
}

void Vms::StopAll()
{
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  for (std::size_t number = 0; number < mVms.size(); ++number) {
    if (mVms[number].mIsServing) {
      Stop(number, false);
    }
  }
}

} // namespace Acaciavale::Soak
