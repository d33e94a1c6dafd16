#pragma once

#include "Ledger.h"

#include <standins.hh>

#include <array>
#include <cstdint>
#include <optional>
#include <random>

namespace Acaciavale::Soak {

/// The processes of the node under a series of stops, restarts, signals and new
/// settings that may overlap. At least one of them serves at all times.
class Vms
{
public:
  Vms(Ledger& aLedger, review::Platform& aPlatform, review::Store& aStore);

  void Start();

  /// Draws one event and brings it about.
  void Disturb(std::mt19937_64& aRandom);

  /// Stops all processes. Returns once they have ended.
  void StopAll();

  /// A VM as its callers know it.
  struct View
  {
    std::size_t mNumber = 0;
    /// How often its process has been started.
    int mGeneration = 0;
    std::string mAddress;
  };

  /// Returns one of the VMs that serve, if any does.
  std::optional<View> Choose(std::uint64_t aDraw) const;

  /// Returns the time at which the process was asked to stop; 0: was not.
  double StopTime(const View& aView) const;

  /// The largest resident memory of any process, in KiB.
  long PeakKib() const;

private:
  struct Vm
  {
    review::Platform::Node* mNode = nullptr;
    bool mIsServing = false;
    bool mHasEnded = false;
    std::vector<double> mStopTimes;
  };

  /// Returns a VM that may stop while others serve; nothing if there is none.
  std::optional<std::size_t> ClaimStop(std::mt19937_64& aRandom);
  void Stop(std::size_t aNumber, bool aRepeats);
  /// Starts the processes that have ended.
  void Restart();
  void ReadPeak(pid_t aProcess);
  void PutSettings();
  std::string SettingsPath(const Vm& aVm) const;

  Ledger& mLedger;
  review::Platform& mPlatform;
  review::Store& mStore;
  mutable std::mutex mMutex;
  std::array<Vm, 3> mVms;
  std::vector<std::thread> mThreads;
  int mSettingsVersion = 0;
  long mPeakKib = 0;
};

} // namespace Acaciavale::Soak
