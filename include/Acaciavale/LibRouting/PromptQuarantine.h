#pragma once

#include <Acaciavale/LibRouting/CrashEvidence.h>

/// Which prompts are kept from the endpoints, judged by the evidence on
/// crashes.
namespace Acaciavale {

/// Prompts that are not sent to endpoints: those that contain all these parts.
struct QuarantinedPrompt
{
  std::string mPool;
  std::vector<std::uint64_t> mParts; ///< Sorted.
  /// The versions whose endpoints crash on it; empty: all versions.
  std::vector<std::string> mVersions;
  std::size_t mCrashes = 0;
  TimePoint mLastCrashAt{};

  auto operator<=>(const QuarantinedPrompt&) const = default;
};

/// The prompts that the evidence shows to crash endpoints. If several parts
/// explain the same crashes, only prompts with all of them are named. A part of
/// which sound answers are known needs crashes over more than aTrustedSpan, in
/// which the sound answers of all VMs become known.
std::vector<QuarantinedPrompt> FindPromptsToQuarantine(
  const CrashEvidence& aEvidence,
  Duration aTrustedSpan);

bool Matches(const QuarantinedPrompt& aPrompt,
             const std::string& aPool,
             const std::vector<std::uint64_t>& aParts);

/// Whether an event of a response has cleared the prompt since its last crash.
bool IsCleared(const QuarantinedPrompt& aPrompt,
               const CrashEvidence& aEvidence);

/// The prompts that may crash endpoints, also after a single crash: those with
/// all parts of which no sound answer is known at all. mVersions is empty.
std::vector<QuarantinedPrompt> FindSuspectPrompts(
  const CrashEvidence& aEvidence);

/// How long a VM sends no request with a suspect prompt. aJitter, a random
/// number in [0, 1) that is constant for a VM, lets the VMs return one by one,
/// so that one of them learns first whether the part is sound.
Duration TimeUntilTrial(const QuarantinedPrompt& aSuspect,
                        double aJitter,
                        TimePoint aNow);

/// What a VM does with a request before it sends it to an endpoint.
enum class PromptVerdict
{
  Send,
  Hold,   ///< Refused for some time: one request shows first what happens.
  Refuse, ///< Refused: the prompt crashes endpoints.
};

struct PromptDecision
{
  PromptVerdict mVerdict = PromptVerdict::Send;
  Duration mRetryAfter{}; ///< If the request is held.
  /// The part that the request is a trial of; 0: of none.
  std::uint64_t mTrialOf = 0;
  /// Versions whose endpoints the prompt crashes; others may be used.
  std::vector<std::string> mExcludedVersions;
  std::size_t mCrashes = 0; ///< The crashes that count against the prompt.

  auto operator<=>(const PromptDecision&) const = default;
};

/// aOpenTrials holds the parts of which this VM has a trial without an event.
PromptDecision DecidePrompt(const std::vector<QuarantinedPrompt>& aSuspects,
                            const std::vector<QuarantinedPrompt>& aQuarantine,
                            const std::string& aPool,
                            const std::vector<std::uint64_t>& aParts,
                            const std::multiset<std::uint64_t>& aOpenTrials,
                            double aJitter,
                            TimePoint aNow);

/// Adds the prompts that are not known yet and drops those that an answer has
/// cleared. Returns whether anything changed.
bool UpdateQuarantine(std::vector<QuarantinedPrompt>& aQuarantine,
                      const std::vector<QuarantinedPrompt>& aFound,
                      const CrashEvidence& aEvidence);

} // namespace Acaciavale
