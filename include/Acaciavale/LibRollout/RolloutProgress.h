#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibRouting/Evidence.h>
#include <Acaciavale/LibRouting/VersionChoice.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <string>

/// Roll-outs: steps gated by evidence, with progress in a record of its own.
namespace Acaciavale {

enum class RolloutPhase
{
  Running,
  Paused,
  Halted, ///< On bad evidence; only an operator resumes it.
  Done,
};

/// The progress record, stored under CAS. A halt never changes a setting.
struct RolloutProgress
{
  std::string mName;
  RolloutPhase mPhase = RolloutPhase::Running;
  std::size_t mStep = 0;
  std::uint64_t mFence = 0; ///< Rises with each new holder; goes with orders.
  std::string mHolder;
  EvidenceCell mBaseline; ///< Evidence at the start of the step.
  EvidenceCell mCandidate;
  std::string mReason; ///< Why it stands where it stands.

  auto operator<=>(const RolloutProgress&) const = default;
};

enum class RolloutVerdict
{
  Stay,
  Advance,
  Halt,
};

struct RolloutDecision
{
  RolloutVerdict mVerdict = RolloutVerdict::Stay;
  std::string mReason;

  auto operator<=>(const RolloutDecision&) const = default;
};

/// Judges the new version's evidence against that of the version replaced: a
/// sequential test on errors and ratings, a bound on latency, and the exposure
/// budget over the whole fleet.
RolloutDecision JudgeRollout(const RolloutSettings& aRollout,
                             const EvidenceCell& aOld,
                             const EvidenceCell& aNew);

/// The share of new sessions that a roll-out in this state sends to the new
/// version.
RolloutView ViewOf(const RolloutSettings& aRollout,
                   const RolloutProgress& aProgress);

} // namespace Acaciavale
