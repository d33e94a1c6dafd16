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
  std::uint32_t mHighestSequence = 0;
  std::uint64_t mSeenBits = 0; ///< Bit n stands for mHighestSequence - n.
};

struct QueuedUpdate
{
  EvidenceUpdate mUpdate;
  int mTransmissionsLeft = 0;
  std::size_t mBytes = 0;
};

struct EvidenceGossip
{
  std::uint32_t mNextSequence = 1;
  std::map<ShortId, SeenSequences> mSeenByOrigin;
  std::vector<QueuedUpdate> mQueue;
};

/// Marks the sequence as seen; false if it was seen before or is too old.
bool MarkSeen(SeenSequences& aSeen, std::uint32_t aSequence);

/// Splits own evidence into numbered rumours and takes them up for telling;
/// returns their bytes.
std::size_t AddLocalEvidence(EvidenceGossip& aGossip,
                             ShortId aSelfId,
                             const EvidenceView& aEvidence,
                             int aTransmissions);

/// Takes rumours from a peer; returns the evidence that is new here.
EvidenceView MergeEvidenceUpdates(EvidenceGossip& aGossip,
                                  ShortId aSelfId,
                                  const std::vector<EvidenceUpdate>& aReceived,
                                  int aTransmissions);

/// Chooses the least told rumours up to the bytes; one at least, if any.
std::vector<EvidenceUpdate> ChooseEvidenceUpdates(EvidenceGossip& aGossip,
                                                  std::size_t aMaxBytes);

/// Forgets the origins that are not among the members any more.
void RetainOrigins(EvidenceGossip& aGossip,
                   const std::vector<ShortId>& aMemberIds);

} // namespace Acaciavale
