#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibRouting/Evidence.h>
#include <Acaciavale/LibRouting/VersionChoice.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <vector>

/// Roll-outs in steps that are gated by evidence. The progress is kept in a
/// separate record.
namespace Acaciavale {

enum class RolloutPhase
{
  Running,
  Paused,
  Halted, ///< Stopped, e.g. on bad evidence; only an operator resumes it.
  Done,
};

/// Progress record, written with compare-and-swap. Halting a roll-out never
/// changes a setting.
struct RolloutProgress
{
  std::string mName;
  RolloutPhase mPhase = RolloutPhase::Running;
  std::size_t mStep = 0;
  /// Fencing number, incremented by each new holder and sent with each order.
  std::uint64_t mFence = 0;
  std::string mHolder;
  /// The lease holder's evidence sums at the start of the step, for the old
  /// version (baseline) and the new version (candidate).
  EvidenceCell mBaseline;
  EvidenceCell mCandidate;
  std::string mReason; ///< Reason for the current phase and step.

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

/// Sequential change detector over incoming evidence. Detects a version that
/// turns bad after it was good: earlier good answers do not outweigh recent bad
/// ones. The caller keeps this value in memory and passes it to the next
/// update.
struct RolloutChangeDetector
{
  /// Evidence sums of both versions at the last update.
  EvidenceCell mProcessedOld;
  EvidenceCell mProcessedNew;
  /// Natural logarithms of the detector statistics, one for each alternative.
  std::vector<double> mErrorDetectors;
  std::vector<double> mRatingDetectors;

  auto operator<=>(const RolloutChangeDetector&) const = default;
};

/// Updates the detector with new evidence sums, which must start at the same
/// time as those of earlier calls and never decrease. Call it whenever evidence
/// arrives: small batches detect a change earliest.
RolloutChangeDetector UpdateChangeDetector(const RolloutSettings& aRollout,
                                           RolloutChangeDetector aDetector,
                                           const EvidenceCell& aOld,
                                           const EvidenceCell& aNew);

/// Returns Halt if the detector indicates that the new version has turned bad,
/// otherwise Stay.
RolloutDecision EvaluateChangeDetector(const RolloutSettings& aRollout,
                                       const RolloutChangeDetector& aDetector);

/// Compares the evidence on the new version with that on the old version, both
/// since the start of the step: sequential tests of errors and ratings, a bound
/// on latency, and the exposure budget of the whole fleet. May be called after
/// each answer: a good version is halted with a probability below 1 %, however
/// often the evidence is evaluated. A version that turns bad later is detected
/// by EvaluateChangeDetector.
RolloutDecision EvaluateRollout(const RolloutSettings& aRollout,
                                const EvidenceCell& aOld,
                                const EvidenceCell& aNew);

/// Returns the versions of a roll-out and the share of new sessions that the
/// new version receives at this progress.
RolloutView ViewOf(const RolloutSettings& aRollout,
                   const RolloutProgress& aProgress);

} // namespace Acaciavale
