#include <Acaciavale/LibRouting/CrashEvidence.h>

#include <algorithm>
#include <xxhash.h>

namespace Acaciavale {

namespace {

/// Time after which a crash no longer counts.
constexpr Duration kCrashMemory = std::chrono::minutes(10);
/// The same for a crash under requests whose shared parts are all sound. Their
/// callers may repeat the whole prompt within this time.
constexpr Duration kPromptMemory = std::chrono::seconds(60);
constexpr std::size_t kMaximumCrashes = 256;
constexpr std::size_t kMaximumSuspects = 16;
constexpr std::size_t kMaximumParts = 32;
constexpr std::size_t kMaximumSoundParts = 4096;
/// A sound answer that another VM reports counts as news if it is later than
/// the known one by this time, which is above the errors of reported ages.
constexpr Duration kSoundResolution = std::chrono::milliseconds(200);

std::set<std::uint64_t> PartsOf(
  const std::map<std::string, EndpointCrash>& aCrashes)
{
  std::set<std::uint64_t> parts;
  for (const auto& [endpoint, crash] : aCrashes) {
    for (const CrashSuspect& suspect : crash.mSuspects) {
      parts.insert(suspect.mParts.begin(), suspect.mParts.end());
    }
  }
  return parts;
}

/// Keeps what is known of suspect parts, and of the others the latest.
void LimitSoundParts(CrashEvidence& aEvidence)
{
  if (aEvidence.mSoundAt.size() <= kMaximumSoundParts) {
    return;
  }
  const std::set<std::uint64_t> suspects = PartsOf(aEvidence.mCrashes);
  std::vector<TimePoint> times;
  for (const auto& [key, at] : aEvidence.mSoundAt) {
    times.push_back(at);
  }
  const auto median =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), median, times.end());
  std::erase_if(aEvidence.mSoundAt, [&](const auto& aSound) {
    return aSound.second <= *median && !suspects.contains(aSound.first.mPart);
  });
}

void LimitCrashes(CrashEvidence& aEvidence)
{
  auto& crashes = aEvidence.mCrashes;
  while (crashes.size() > kMaximumCrashes) {
    crashes.erase(std::min_element(crashes.begin(),
                                   crashes.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.second.mAt <
                                            aRight.second.mAt;
                                   }));
  }
}

/// Whether the crash counts against a part that other requests may have too.
bool CountsAgainstSharedPart(const CrashEvidence& aEvidence,
                             const EndpointCrash& aCrash)
{
  for (const CrashSuspect* const suspect : LikelySuspects(aCrash)) {
    const auto last = suspect->mParts.end() - 1;
    const bool isAny =
      std::any_of(suspect->mParts.begin(), last, [&](std::uint64_t aPart) {
        return CountsAgainst(aEvidence, aCrash, aPart);
      });
    if (isAny) {
      return true;
    }
  }
  return false;
}

} // namespace

TimePoint SoundAt(const CrashEvidence& aEvidence,
                  const EndpointCrash& aCrash,
                  std::uint64_t aPart)
{
  const auto found =
    aEvidence.mSoundAt.find({ aPart, aCrash.mPool, aCrash.mVersion });
  return found == aEvidence.mSoundAt.end() ? TimePoint{} : found->second;
}

bool AnySound(
  const CrashEvidence& aEvidence,
  std::uint64_t aPart,
  const std::function<bool(const PartOnVersion& aKey, TimePoint aAt)>& aMatches)
{
  const auto first = aEvidence.mSoundAt.lower_bound({ aPart, "", "" });
  for (auto sound = first;
       sound != aEvidence.mSoundAt.end() && sound->first.mPart == aPart;
       ++sound) {
    if (aMatches(sound->first, sound->second)) {
      return true;
    }
  }
  return false;
}

bool IsProvenSound(const CrashEvidence& aEvidence,
                   const std::string& aPool,
                   const std::vector<std::uint64_t>& aParts)
{
  return aParts.empty() ||
         std::all_of(
           aParts.begin(), aParts.end() - 1, [&](std::uint64_t aPart) {
             return AnySound(aEvidence,
                             aPart,
                             [&aPool](const PartOnVersion& aKey, TimePoint) {
                               return aKey.mPool == aPool;
                             });
           });
}

bool CountsAgainst(const CrashEvidence& aEvidence,
                   const EndpointCrash& aCrash,
                   std::uint64_t aPart)
{
  return SoundAt(aEvidence, aCrash, aPart) <= aCrash.mAt;
}

std::vector<const CrashSuspect*> LikelySuspects(const EndpointCrash& aCrash)
{
  std::vector<const CrashSuspect*> begun;
  std::vector<const CrashSuspect*> all;
  for (const CrashSuspect& suspect : aCrash.mSuspects) {
    all.push_back(&suspect);
    if (suspect.mHadBegun) {
      begun.push_back(&suspect);
    }
  }
  return begun.empty() ? all : begun;
}

bool RecordCrash(CrashEvidence& aEvidence, const EndpointCrash& aCrash)
{
  const auto [known, isNew] =
    aEvidence.mCrashes.try_emplace(aCrash.mEndpoint, aCrash);
  EndpointCrash& crash = known->second;
  if (isNew) {
    crash.mSuspects.clear();
  }
  bool isNews = isNew;
  crash.mAt = std::min(crash.mAt, aCrash.mAt);
  for (CrashSuspect suspect : aCrash.mSuspects) {
    suspect.mParts.resize(std::min(suspect.mParts.size(), kMaximumParts));
    const bool isKnown =
      std::find(crash.mSuspects.begin(), crash.mSuspects.end(), suspect) !=
      crash.mSuspects.end();
    if (suspect.mParts.empty() || isKnown) {
      continue;
    }
    // NOTE: Requests that the endpoint had begun to answer must not be pushed
    //       out by those that only waited there.
    const auto position =
      suspect.mHadBegun ? crash.mSuspects.begin() : crash.mSuspects.end();
    isNews =
      isNews || suspect.mHadBegun || crash.mSuspects.size() < kMaximumSuspects;
    crash.mSuspects.insert(position, std::move(suspect));
    crash.mSuspects.resize(std::min(crash.mSuspects.size(), kMaximumSuspects));
  }
  LimitCrashes(aEvidence);
  return isNews;
}

void RecordSound(CrashEvidence& aEvidence,
                 const std::string& aPool,
                 const std::string& aVersion,
                 const std::vector<std::uint64_t>& aParts,
                 TimePoint aAt)
{
  for (const std::uint64_t part : aParts) {
    TimePoint& at = aEvidence.mSoundAt[{ part, aPool, aVersion }];
    at = std::max(at, aAt);
  }
  LimitSoundParts(aEvidence);
}

bool Merge(CrashEvidence& aEvidence, const CrashEvidence& aOther)
{
  bool hasChanged = false;
  for (const auto& [endpoint, crash] : aOther.mCrashes) {
    hasChanged = RecordCrash(aEvidence, crash) || hasChanged;
  }
  for (const auto& [key, reportedAt] : aOther.mSoundAt) {
    TimePoint& at = aEvidence.mSoundAt[key];
    if (reportedAt > at + kSoundResolution) {
      at = reportedAt;
      hasChanged = true;
    }
  }
  LimitSoundParts(aEvidence);
  return hasChanged;
}

void ForgetOldCrashes(CrashEvidence& aEvidence, TimePoint aNow)
{
  std::erase_if(aEvidence.mCrashes, [&](const auto& aCrash) {
    const Duration age = aNow - aCrash.second.mAt;
    return age > kCrashMemory ||
           (age > kPromptMemory &&
            !CountsAgainstSharedPart(aEvidence, aCrash.second));
  });
}

CrashEvidence SharedEvidence(const CrashEvidence& aEvidence,
                             const std::set<std::uint64_t>& aFurtherParts)
{
  CrashEvidence shared;
  shared.mCrashes = aEvidence.mCrashes;
  std::set<std::uint64_t> suspects = PartsOf(aEvidence.mCrashes);
  suspects.insert(aFurtherParts.begin(), aFurtherParts.end());
  for (const std::uint64_t part : suspects) {
    AnySound(
      aEvidence, part, [&shared](const PartOnVersion& aKey, TimePoint aAt) {
        shared.mSoundAt[aKey] = aAt;
        return false;
      });
  }
  return shared;
}

std::uint64_t DigestOf(const CrashEvidence& aEvidence)
{
  std::uint64_t digest = 0;
  for (const auto& [endpoint, crash] : aEvidence.mCrashes) {
    for (const CrashSuspect& suspect : crash.mSuspects) {
      std::string text = endpoint + (suspect.mHadBegun ? " begun" : "");
      for (const std::uint64_t part : suspect.mParts) {
        text += ' ' + std::to_string(part);
        text += CountsAgainst(aEvidence, crash, part) ? '?' : '.';
      }
      // NOTE: A sum does not depend on the order, which VMs do not share.
      digest += XXH3_64bits(text.data(), text.size());
    }
  }
  return digest;
}

} // namespace Acaciavale
