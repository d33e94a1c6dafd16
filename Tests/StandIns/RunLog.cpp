#include "RunLog.h"

namespace Acaciavale::StandIns {

std::uint64_t RunLog::Start(Run aRun)
{
  const std::lock_guard lock(mMutex);
  aRun.mNumber = mRuns.size() + 1;
  aRun.mStart = MonotonicNow();
  mRuns.push_back(std::move(aRun));
  return mRuns.size();
}

void RunLog::End(std::uint64_t aNumber, RunOutcome aOutcome)
{
  const std::lock_guard lock(mMutex);
  mRuns[aNumber - 1].mOutcome = aOutcome;
}

std::vector<Run> RunLog::RunsAfter(std::uint64_t aNumber) const
{
  const std::lock_guard lock(mMutex);
  if (aNumber >= mRuns.size()) {
    return {};
  }
  return { mRuns.begin() + static_cast<std::ptrdiff_t>(aNumber), mRuns.end() };
}

std::string Describe(RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::Running:
      return "running";
    case RunOutcome::Completed:
      return "completed";
    case RunOutcome::Cancelled:
      return "cancelled";
    case RunOutcome::Failed:
      return "failed";
    case RunOutcome::Broken:
      return "broken";
  }
  return "running";
}

} // namespace Acaciavale::StandIns
