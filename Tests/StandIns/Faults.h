#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Faults that a test sets for individual targets while the stand-ins run. A
/// target is a service, an endpoint or a model version; the control interface
/// calls it a part.
namespace Acaciavale::StandIns {

/// Faults currently set for one target.
struct TargetFaults
{
  TimePoint mDownUntil{};      ///< Connections are closed until this time.
  Duration mFlapHalfPeriod{};  ///< Length of each up and each down phase.
  Duration mDelay{};           ///< Delay before each response.
  double mLostAnswerShare = 0; ///< Share of writes applied but not answered.
  double mErrorShare = 0;      ///< Share of requests answered with status 500.
  /// Share of requests that run, but whose connection is cut before the
  /// response is complete.
  double mBreakShare = 0;
  int mBreakAfterChunks = 0; ///< Chunks that a stream sends before the cut.
  double mSlowFactor = 1;
  double mQuality = -1; ///< A version's share of good answers; unset if < 0.
  bool mLeaving = false;
};

/// A fault command as recorded for the history.
struct FaultRecord
{
  TimePoint mTime{};
  std::string mBody; ///< The JSON of the command.
};

/// Holds the faults of all targets. Thread-safe.
class FaultInjector
{
public:
  explicit FaultInjector(std::uint64_t aSeed);

  /// Applies a command {"part": target, fault: value, …}; "clear": true first
  /// resets all faults of the target. Throws on malformed JSON.
  void Set(const std::string& aBody);

  TargetFaults FaultsFor(const std::string& aTarget) const;
  bool IsDown(const std::string& aTarget) const;
  /// Returns true with the given probability.
  bool Chance(double aProbability);
  std::vector<FaultRecord> History() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, TargetFaults> mFaultsByTarget;
  std::vector<FaultRecord> mHistory;
  Random mRandom;
};

} // namespace Acaciavale::StandIns
