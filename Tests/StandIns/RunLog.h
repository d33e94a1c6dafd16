#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

/// Everything that endpoints ran, for history checks.
namespace Acaciavale::StandIns {

enum class RunOutcome
{
  Running,
  Completed, ///< The whole answer was sent.
  Cancelled, ///< The router closed the connection before the end.
  Failed,    ///< Answered with an error after it had started.
  Broken,    ///< Ran, but a fault cut the answer off.
};

/// One run of one request at one endpoint.
struct Run
{
  std::uint64_t mNumber = 0; ///< 1, 2, 3, … in the order of their starts.
  std::string mEndpointName;
  std::string mRequestId;
  std::string mReference; ///< The test's own name for it, from path or body.
  std::string mIdempotencyKey;
  std::string mModel;
  std::string mVersion;
  std::string mMethod;
  std::string mPath;
  std::int64_t mResumeFrom = 0; ///< Chunks that the router had already.
  RunOutcome mOutcome = RunOutcome::Running;
  TimePoint mStart{};
};

/// Thread-safe.
class RunLog
{
public:
  /// Gives the run its number and start, and returns the number.
  std::uint64_t Start(Run aRun);
  void End(std::uint64_t aNumber, RunOutcome aOutcome);
  std::vector<Run> RunsAfter(std::uint64_t aNumber) const;

private:
  mutable std::mutex mMutex;
  std::vector<Run> mRuns;
};

std::string Describe(RunOutcome aOutcome);

} // namespace Acaciavale::StandIns
