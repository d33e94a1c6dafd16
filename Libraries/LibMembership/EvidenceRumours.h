#pragma once

#include "Digest.h"

#include <map>
#include <vector>

/// Evidence on its way through the fleet: each rumour is counted once here and
/// told on a bounded number of times.
namespace Acaciavale {

/// Sequence numbers of one origin that were seen: all up to a floor, and a
/// window of 64 above it.
struct SeenSequences
{
  std::uint32_t mHighest = 0;
  std::uint64_t mWindow = 0; ///< Bit n stands for mHighest - n.
};

struct CarriedRumour
{
  EvidenceRumour mRumour;
  int mSendsLeft = 0;
  std::size_t mBytes = 0;
};

struct EvidenceRumours
{
  std::uint32_t mNextSequence = 1;
  std::map<ShortId, SeenSequences> mSeen;
  std::vector<CarriedRumour> mCarried;
};

/// Marks the sequence as seen; false if it was seen before or is too old.
bool MarkSeen(SeenSequences& aSeen, std::uint32_t aSequence);

/// Splits own evidence into numbered rumours and takes them up for telling;
/// returns their bytes.
std::size_t AddOwnEvidence(EvidenceRumours& aRumours,
                           ShortId aSelf,
                           const EvidenceView& aEvidence,
                           int aSends);

/// Takes rumours from a peer; returns the evidence that is new here.
EvidenceView MergeRumours(EvidenceRumours& aRumours,
                          ShortId aSelf,
                          const std::vector<EvidenceRumour>& aTold,
                          int aSends);

/// Chooses the least told rumours up to the bytes; one at least, if any.
std::vector<EvidenceRumour> ChooseRumours(EvidenceRumours& aRumours,
                                          std::size_t aMostBytes);

/// Forgets the origins that are not among the members any more.
void ForgetOrigins(EvidenceRumours& aRumours,
                   const std::vector<ShortId>& aMembers);

} // namespace Acaciavale
