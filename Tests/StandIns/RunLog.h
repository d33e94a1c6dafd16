#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

/// Log of all requests that the endpoints executed, for history checks.
namespace Acaciavale::StandIns {

enum class RunOutcome
{
  Running,
  Completed, ///< The complete answer was sent.
  Cancelled, ///< The router closed the connection early.
  Failed,    ///< An error was sent after the start.
  Broken,    ///< A fault closed the connection early.
};

/// One execution of a request at an endpoint.
struct Run
{
  std::uint64_t mNumber = 0; ///< Position in the order of starts, from 1.
  std::string mEndpointName;
  std::string mRequestId;
  std::string mReference; ///< Reference of the test, see FindReference.
  std::string mIdempotencyKey;
  std::string mModel;
  std::string mVersion;
  std::string mMethod;
  std::string mPath;
  /// Number of chunks that the router received before this run, which starts
  /// with the chunk after them.
  std::int64_t mResumeFrom = 0;
  RunOutcome mOutcome = RunOutcome::Running;
  TimePoint mStart{};
};

/// Records all runs. Thread-safe.
class RunLog
{
public:
  /// Records a run with its number and start time, and returns the number.
  std::uint64_t Start(Run aRun);
  void End(std::uint64_t aNumber, RunOutcome aOutcome);
  std::vector<Run> RunsAfter(std::uint64_t aNumber) const;

private:
  mutable std::mutex mMutex;
  std::vector<Run> mRuns;
};

std::string Describe(RunOutcome aOutcome);

} // namespace Acaciavale::StandIns
