#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Prompts that crash the endpoints that answer them.
///
/// Load pattern: requests with one part in their prompts come at all VMs, a few
/// in a hundred of a kind or one in a minute, and each endpoint that begins to
/// answer one ends with all that runs there. They have their caller and their
/// other parts in common with sound requests. Beside them, endpoints crash for
/// other reasons, also several at once.
///
/// A part is judged by what came after its last sound answer: a crash counts
/// against each part of the requests that the endpoint had begun to answer, and
/// an event of a response clears all parts of its request.
namespace Acaciavale {

/// A request that was open at an endpoint when it ended and had no event yet.
struct CrashSuspect
{
  /// Ids of the parts of the prompt, in order. The last one belongs to the
  /// request itself or to its session.
  std::vector<std::uint64_t> mParts;
  /// Whether the head of the response had arrived. A request without it has
  /// most likely waited in the endpoint's queue.
  bool mHadBegun = false;

  auto operator<=>(const CrashSuspect&) const = default;
};

/// The end of one lifetime of an endpoint.
struct EndpointCrash
{
  std::string mPool;
  std::string mEndpoint; ///< Identifies the lifetime, over all VMs.
  std::string mVersion;
  TimePoint mAt{};
  std::vector<CrashSuspect> mSuspects;

  auto operator<=>(const EndpointCrash&) const = default;
};

/// A prompt part at the endpoints of one software version.
struct PartOnVersion
{
  std::uint64_t mPart = 0;
  std::string mPool;
  std::string mVersion;

  auto operator<=>(const PartOnVersion&) const = default;
};

/// What is known of crashes. VMs exchange it; merging is commutative and
/// idempotent. The sizes are bounded, whatever callers send.
struct CrashEvidence
{
  std::map<std::string, EndpointCrash> mCrashes; ///< By mEndpoint.
  /// Time of the latest event of a response to a request with the part.
  std::map<PartOnVersion, TimePoint> mSoundAt;

  auto operator<=>(const CrashEvidence&) const = default;
};

/// Records a crash, or adds another VM's suspects to a known one. Returns
/// whether this is news.
bool RecordCrash(CrashEvidence& aEvidence, const EndpointCrash& aCrash);

/// Records the event of a response to a request with these parts.
void RecordSound(CrashEvidence& aEvidence,
                 const std::string& aPool,
                 const std::string& aVersion,
                 const std::vector<std::uint64_t>& aParts,
                 TimePoint aAt);

/// Adds the evidence of another VM. Returns whether anything changed.
bool Merge(CrashEvidence& aEvidence, const CrashEvidence& aOther);

/// Drops crashes whose requests share no suspect part with others, and those
/// that are too old.
void ForgetOldCrashes(CrashEvidence& aEvidence, TimePoint aNow);

/// The part of the evidence that other VMs need: the crashes, and what is known
/// to be sound of their parts and of aFurtherParts.
CrashEvidence SharedEvidence(const CrashEvidence& aEvidence,
                             const std::set<std::uint64_t>& aFurtherParts);

/// Whether aMatches holds for any of the sound answers with the part.
bool AnySound(const CrashEvidence& aEvidence,
              std::uint64_t aPart,
              const std::function<bool(const PartOnVersion& aKey,
                                       TimePoint aAt)>& aMatches);

/// Time of the latest sound answer with the part on the crashed version; zero
/// if none is known.
TimePoint SoundAt(const CrashEvidence& aEvidence,
                  const EndpointCrash& aCrash,
                  std::uint64_t aPart);

/// Whether a sound answer is known for each part but the last one, which
/// belongs to the request itself.
bool IsProvenSound(const CrashEvidence& aEvidence,
                   const std::string& aPool,
                   const std::vector<std::uint64_t>& aParts);

/// Whether no event of a response has cleared the part since the crash.
bool CountsAgainst(const CrashEvidence& aEvidence,
                   const EndpointCrash& aCrash,
                   std::uint64_t aPart);

/// The suspects of which one has most likely caused the crash: those that the
/// endpoint had begun to answer, if any VM knows of such.
std::vector<const CrashSuspect*> LikelySuspects(const EndpointCrash& aCrash);

/// Identifies what the evidence says. Evidence with equal digests need not be
/// exchanged.
std::uint64_t DigestOf(const CrashEvidence& aEvidence);

} // namespace Acaciavale
