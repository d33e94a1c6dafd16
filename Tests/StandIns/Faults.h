#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Faults that a test sets, by part, while the stand-ins run.
namespace Acaciavale::StandIns {

/// What one part does wrong now.
struct TargetFaults
{
  TimePoint mDownUntil{};      ///< Until then it drops each connection.
  Duration mFlapHalfPeriod{};  ///< Down and up by turns, each this long.
  Duration mDelay{};           ///< Before each answer.
  double mLostAnswerShare = 0; ///< Share of writes done, but not answered.
  double mErrorShare = 0;      ///< Share of requests answered with a 500.
  double mBreakShare = 0;      ///< Share of requests run, then cut off.
  int mBreakAfterChunks = 0;   ///< Where a stream is cut off.
  double mSlowFactor = 1;
  double mQuality = -1; ///< Of a version: its share of good answers; unset < 0.
  bool mLeaving = false;
};

/// A fault as it was set, for the history.
struct FaultRecord
{
  TimePoint mTime{};
  std::string mBody; ///< The JSON that set it.
};

/// All parts' faults. Thread-safe.
class FaultInjector
{
public:
  explicit FaultInjector(std::uint64_t aSeed);

  /// Takes {"part": name, fault: value, …}; "clear": true takes back what that
  /// part had. Throws on malformed JSON.
  void Set(const std::string& aBody);

  TargetFaults FaultsFor(const std::string& aTarget) const;
  bool IsDown(const std::string& aTarget) const;
  /// True with the given probability.
  bool Chance(double aProbability);
  std::vector<FaultRecord> History() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, TargetFaults> mFaultsByTarget;
  std::vector<FaultRecord> mHistory;
  Random mRandom;
};

} // namespace Acaciavale::StandIns
