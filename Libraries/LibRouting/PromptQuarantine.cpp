#include <Acaciavale/LibRouting/PromptQuarantine.h>

#include <algorithm>

namespace Acaciavale {

namespace {

/// Crashes that show a part of prompts to be the cause, by requests with
/// different prompts.
constexpr std::size_t kCrashesByPart = 3;
constexpr std::size_t kPromptsByPart = 2;
/// Crashes that show a whole prompt to be the cause.
constexpr std::size_t kCrashesByPrompt = 2;
/// Crashes that make requests suspect which the endpoints had not begun to
/// answer. After a single one they are repeated at once.
constexpr std::size_t kCrashesWhileWaiting = 2;
/// Endpoints that end within this time may have a common cause, such as the
/// loss of a failure domain.
constexpr Duration kJointFailureSpan = std::chrono::milliseconds(300);
constexpr std::size_t kMaximumQuarantined = 256;
/// Time without requests with a suspect part after its first crash and after
/// each later one.
constexpr Duration kFirstHold = std::chrono::milliseconds(500);
constexpr Duration kLaterHold = std::chrono::seconds(2);

using Parts = std::vector<std::uint64_t>;

bool Contains(const Parts& aParts, std::uint64_t aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

/// The crashes that count against a part, and the requests with it.
struct Case
{
  std::vector<const EndpointCrash*> mCrashes;
  std::vector<const CrashSuspect*> mSuspects;
  /// First crash under each of the prompts, by the part of its own.
  std::map<std::uint64_t, TimePoint> mPrompts;
  /// Whether the part is the last one of each of these requests.
  bool mIsWholePrompt = true;
};

std::map<std::pair<std::string, std::uint64_t>, Case> CasesOf(
  const CrashEvidence& aEvidence)
{
  std::map<std::pair<std::string, std::uint64_t>, Case> cases;
  for (const auto& [endpoint, crash] : aEvidence.mCrashes) {
    for (const CrashSuspect* const suspect : LikelySuspects(crash)) {
      for (const std::uint64_t part : suspect->mParts) {
        if (!CountsAgainst(aEvidence, crash, part)) {
          continue;
        }
        Case& against = cases[{ crash.mPool, part }];
        if (against.mCrashes.empty() || against.mCrashes.back() != &crash) {
          against.mCrashes.push_back(&crash);
        }
        against.mSuspects.push_back(suspect);
        const auto [first, isNew] =
          against.mPrompts.try_emplace(suspect->mParts.back(), crash.mAt);
        first->second = std::min(first->second, crash.mAt);
        against.mIsWholePrompt =
          against.mIsWholePrompt && suspect->mParts.back() == part;
      }
    }
  }
  return cases;
}

TimePoint FirstCrashAt(const Case& aCase)
{
  TimePoint first = aCase.mCrashes.front()->mAt;
  for (const EndpointCrash* const crash : aCase.mCrashes) {
    first = std::min(first, crash->mAt);
  }
  return first;
}

TimePoint LastCrashAt(const Case& aCase)
{
  TimePoint last = aCase.mCrashes.front()->mAt;
  for (const EndpointCrash* const crash : aCase.mCrashes) {
    last = std::max(last, crash->mAt);
  }
  return last;
}

bool IsProven(const CrashEvidence& aEvidence,
              const Case& aCase,
              std::uint64_t aPart,
              Duration aTrustedSpan)
{
  if (aCase.mIsWholePrompt) {
    return aCase.mCrashes.size() >= kCrashesByPrompt;
  }
  const bool wasSound = std::any_of(
    aCase.mCrashes.begin(), aCase.mCrashes.end(), [&](const auto* aCrash) {
      return SoundAt(aEvidence, *aCrash, aPart) != TimePoint{};
    });
  const Duration span = LastCrashAt(aCase) - FirstCrashAt(aCase);
  return aCase.mCrashes.size() >= kCrashesByPart &&
         aCase.mPrompts.size() >= kPromptsByPart &&
         span > (wasSound ? aTrustedSpan : kJointFailureSpan);
}

/// The shared parts that all requests of the case have in common and that are
/// not known to be sound.
Parts CommonParts(const CrashEvidence& aEvidence, const Case& aCase)
{
  Parts common = aCase.mSuspects.front()->mParts;
  std::sort(common.begin(), common.end());
  common.erase(std::unique(common.begin(), common.end()), common.end());
  std::erase_if(common, [&](std::uint64_t aPart) {
    const bool isSharedByAll =
      std::all_of(aCase.mSuspects.begin(),
                  aCase.mSuspects.end(),
                  [aPart](const auto* aSuspect) {
                    return Contains(aSuspect->mParts, aPart) &&
                           aSuspect->mParts.back() != aPart;
                  });
    const bool isSound = std::any_of(
      aCase.mCrashes.begin(), aCase.mCrashes.end(), [&](const auto* aCrash) {
        return !CountsAgainst(aEvidence, *aCrash, aPart);
      });
    return !isSharedByAll || isSound;
  });
  return common;
}

/// The versions on which the part crashes endpoints, if it is sound on another
/// version; otherwise none.
std::vector<std::string> CrashingVersions(const CrashEvidence& aEvidence,
                                          const Case& aCase,
                                          std::uint64_t aPart)
{
  std::set<std::string> versions;
  for (const EndpointCrash* const crash : aCase.mCrashes) {
    versions.insert(crash->mVersion);
  }
  const TimePoint first = FirstCrashAt(aCase);
  const std::string& pool = aCase.mCrashes.front()->mPool;
  const bool isSoundElsewhere =
    AnySound(aEvidence, aPart, [&](const PartOnVersion& aKey, TimePoint aAt) {
      return aKey.mPool == pool && !versions.contains(aKey.mVersion) &&
             aAt > first;
    });
  if (!isSoundElsewhere) {
    return {};
  }
  return { versions.begin(), versions.end() };
}

} // namespace

std::vector<QuarantinedPrompt> FindPromptsToQuarantine(
  const CrashEvidence& aEvidence,
  Duration aTrustedSpan)
{
  std::vector<QuarantinedPrompt> prompts;
  for (const auto& [key, against] : CasesOf(aEvidence)) {
    if (!IsProven(aEvidence, against, key.second, aTrustedSpan)) {
      continue;
    }
    QuarantinedPrompt prompt;
    prompt.mPool = key.first;
    // NOTE: A whole prompt is named by its own part alone.
    prompt.mParts = against.mIsWholePrompt ? Parts{ key.second }
                                           : CommonParts(aEvidence, against);
    prompt.mVersions = CrashingVersions(aEvidence, against, key.second);
    prompt.mCrashes = against.mCrashes.size();
    prompt.mLastCrashAt = LastCrashAt(against);
    const bool isKnown = std::any_of(
      prompts.begin(), prompts.end(), [&prompt](const auto& aOther) {
        return aOther.mPool == prompt.mPool && aOther.mParts == prompt.mParts;
      });
    if (!isKnown) {
      prompts.push_back(std::move(prompt));
    }
  }
  return prompts;
}

bool Matches(const QuarantinedPrompt& aPrompt,
             const std::string& aPool,
             const std::vector<std::uint64_t>& aParts)
{
  return aPrompt.mPool == aPool && !aPrompt.mParts.empty() &&
         std::all_of(
           aPrompt.mParts.begin(),
           aPrompt.mParts.end(),
           [&aParts](std::uint64_t aPart) { return Contains(aParts, aPart); });
}

bool IsCleared(const QuarantinedPrompt& aPrompt, const CrashEvidence& aEvidence)
{
  // NOTE: An answer to a request with only some of the parts clears these, but
  //       not the prompt; the others are still suspect.
  return std::all_of(
    aPrompt.mParts.begin(), aPrompt.mParts.end(), [&](std::uint64_t aPart) {
      return AnySound(
        aEvidence, aPart, [&](const PartOnVersion& aKey, TimePoint aAt) {
          const bool isSameVersion =
            aPrompt.mVersions.empty() ||
            std::find(aPrompt.mVersions.begin(),
                      aPrompt.mVersions.end(),
                      aKey.mVersion) != aPrompt.mVersions.end();
          return aKey.mPool == aPrompt.mPool && isSameVersion &&
                 aAt > aPrompt.mLastCrashAt;
        });
    });
}

std::vector<QuarantinedPrompt> FindSuspectPrompts(
  const CrashEvidence& aEvidence)
{
  std::vector<QuarantinedPrompt> prompts;
  for (const auto& [key, against] : CasesOf(aEvidence)) {
    const bool hadBegun =
      std::any_of(against.mSuspects.begin(),
                  against.mSuspects.end(),
                  [](const auto* aSuspect) { return aSuspect->mHadBegun; });
    if (!hadBegun && against.mCrashes.size() < kCrashesWhileWaiting) {
      continue;
    }
    QuarantinedPrompt prompt;
    prompt.mPool = key.first;
    prompt.mParts = against.mIsWholePrompt ? Parts{ key.second }
                                           : CommonParts(aEvidence, against);
    // NOTE: A part that was sound before is more likely a bystander.
    std::erase_if(prompt.mParts, [&](std::uint64_t aPart) {
      return AnySound(
        aEvidence, aPart, [&prompt](const PartOnVersion& aKey, TimePoint) {
          return aKey.mPool == prompt.mPool;
        });
    });
    if (!Contains(prompt.mParts, key.second)) {
      continue;
    }
    prompt.mCrashes = against.mCrashes.size();
    prompt.mLastCrashAt = LastCrashAt(against);
    if (!against.mIsWholePrompt) {
      // NOTE: Repeats of one prompt tell nothing more about a part of it.
      prompt.mCrashes = against.mPrompts.size();
      prompt.mLastCrashAt = {};
      for (const auto& [own, firstCrashAt] : against.mPrompts) {
        prompt.mLastCrashAt = std::max(prompt.mLastCrashAt, firstCrashAt);
      }
    }
    prompts.push_back(std::move(prompt));
  }
  return prompts;
}

Duration TimeUntilTrial(const QuarantinedPrompt& aSuspect,
                        double aJitter,
                        TimePoint aNow)
{
  const Duration hold = aSuspect.mCrashes == 1 ? kFirstHold : kLaterHold;
  const TimePoint end =
    aSuspect.mLastCrashAt + FromSeconds(InSeconds(hold) * (1 + aJitter));
  return std::max(Duration{}, end - aNow);
}

PromptDecision DecidePrompt(const std::vector<QuarantinedPrompt>& aSuspects,
                            const std::vector<QuarantinedPrompt>& aQuarantine,
                            const std::string& aPool,
                            const std::vector<std::uint64_t>& aParts,
                            const std::multiset<std::uint64_t>& aOpenTrials,
                            double aJitter,
                            TimePoint aNow)
{
  PromptDecision decision;
  for (const QuarantinedPrompt& prompt : aQuarantine) {
    if (!Matches(prompt, aPool, aParts)) {
      continue;
    }
    decision.mCrashes = std::max(decision.mCrashes, prompt.mCrashes);
    decision.mExcludedVersions.insert(decision.mExcludedVersions.end(),
                                      prompt.mVersions.begin(),
                                      prompt.mVersions.end());
    if (prompt.mVersions.empty()) {
      decision.mVerdict = PromptVerdict::Refuse;
      return decision;
    }
  }
  if (!decision.mExcludedVersions.empty()) {
    return decision;
  }
  for (const QuarantinedPrompt& suspect : aSuspects) {
    if (!Matches(suspect, aPool, aParts)) {
      continue;
    }
    decision.mCrashes = std::max(decision.mCrashes, suspect.mCrashes);
    Duration wait = TimeUntilTrial(suspect, aJitter, aNow);
    if (wait == Duration{} && aOpenTrials.contains(suspect.mParts.front())) {
      wait = kFirstHold;
    }
    decision.mRetryAfter = std::max(decision.mRetryAfter, wait);
    decision.mTrialOf = suspect.mParts.front();
  }
  if (decision.mRetryAfter > Duration{}) {
    decision.mVerdict = PromptVerdict::Hold;
    decision.mTrialOf = 0;
  }
  return decision;
}

bool UpdateQuarantine(std::vector<QuarantinedPrompt>& aQuarantine,
                      const std::vector<QuarantinedPrompt>& aFound,
                      const CrashEvidence& aEvidence)
{
  bool hasChanged = std::erase_if(aQuarantine, [&](const auto& aPrompt) {
                      return IsCleared(aPrompt, aEvidence);
                    }) > 0;
  for (const QuarantinedPrompt& found : aFound) {
    if (IsCleared(found, aEvidence)) {
      continue;
    }
    const auto known = std::find_if(
      aQuarantine.begin(), aQuarantine.end(), [&found](const auto& aPrompt) {
        return aPrompt.mPool == found.mPool && aPrompt.mParts == found.mParts;
      });
    if (known == aQuarantine.end()) {
      aQuarantine.push_back(found);
      hasChanged = true;
    } else {
      known->mCrashes = std::max(known->mCrashes, found.mCrashes);
      known->mLastCrashAt = std::max(known->mLastCrashAt, found.mLastCrashAt);
      hasChanged = hasChanged || known->mVersions != found.mVersions;
      known->mVersions = found.mVersions;
    }
  }
  if (aQuarantine.size() > kMaximumQuarantined) {
    std::nth_element(aQuarantine.begin(),
                     aQuarantine.begin() + kMaximumQuarantined,
                     aQuarantine.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mLastCrashAt > aRight.mLastCrashAt;
                     });
    aQuarantine.resize(kMaximumQuarantined);
  }
  return hasChanged;
}

} // namespace Acaciavale
