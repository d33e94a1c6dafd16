#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibRouting/Evidence.h>
#include <Acaciavale/LibRouting/VersionChoice.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <vector>

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
  /// Evidence on the old version at the start of the step, and on the new one,
  /// as its holder had summed it up.
  EvidenceCell mBaseline;
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

/// A change detector over the evidence as it comes in, for a version that turns
/// bad after it was good: old good answers do not outweigh new bad ones.
/// A value; its holder keeps it in memory and hands it back.
struct RolloutChangeDetector
{
  EvidenceCell mProcessedOld; ///< Evidence taken in so far.
  EvidenceCell mProcessedNew;
  /// Natural logarithms of the detectors, one for each alternative.
  std::vector<double> mErrorDetectors;
  std::vector<double> mRatingDetectors;

  auto operator<=>(const RolloutChangeDetector&) const = default;
};

/// Takes in evidence: sums from the same start as those seen before, which only
/// rise. Call it each time that evidence arrives; few answers at a time detect
/// a turn soonest.
RolloutChangeDetector UpdateChangeDetector(const RolloutSettings& aRollout,
                                           RolloutChangeDetector aDetector,
                                           const EvidenceCell& aOld,
                                           const EvidenceCell& aNew);

/// Whether the detectors say that the new version has turned bad.
RolloutDecision EvaluateChangeDetector(const RolloutSettings& aRollout,
                                       const RolloutChangeDetector& aDetector);

/// Judges the new version's evidence against that of the version replaced: a
/// sequential test on errors and ratings, a bound on latency, and the exposure
/// budget over the whole fleet. Evidence from the start of the step; may be
/// called after each answer: the halts of a good version stay below 1 % however
/// often one looks. A version that turns bad late is found by
/// EvaluateChangeDetector.
RolloutDecision EvaluateRollout(const RolloutSettings& aRollout,
                                const EvidenceCell& aOld,
                                const EvidenceCell& aNew);

/// The share of new sessions that a roll-out in this state sends to the new
/// version.
RolloutView ViewOf(const RolloutSettings& aRollout,
                   const RolloutProgress& aProgress);

} // namespace Acaciavale
