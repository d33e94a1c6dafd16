#pragma once

#include "Digest.h"

#include <map>
#include <vector>

/// Dissemination of evidence by gossip. Each VM counts an evidence update once
/// and forwards it a bounded number of times.
namespace Acaciavale {

/// Sequence numbers received from one origin. The newest 64 are tracked one by
/// one; all older ones count as received.
struct ReceivedSequences
{
  std::uint32_t mHighestSequence = 0;
  std::uint64_t mReceivedBits =
    0; ///< Bit n: mHighestSequence - n was received.
};

/// An evidence update that is still being forwarded.
struct QueuedUpdate
{
  EvidenceUpdate mUpdate;
  int mTransmissionsLeft = 0;
  std::size_t mBytes = 0; ///< Estimated size on the wire.
};

/// Updates to forward, and those already counted.
struct EvidenceGossip
{
  std::uint32_t mNextSequence = 1;
  std::map<ShortId, ReceivedSequences> mReceivedByOrigin;
  std::vector<QueuedUpdate> mQueue;
};

/// Marks the sequence number as received. Returns false if it was received
/// before or is too old to tell.
bool MarkReceived(ReceivedSequences& aReceivedSequences,
                  std::uint32_t aSequence);

/// Splits the evidence of this VM into numbered updates and queues them.
/// Returns their estimated size in bytes.
std::size_t AddLocalEvidence(EvidenceGossip& aGossip,
                             ShortId aSelfId,
                             const EvidenceView& aEvidence,
                             int aTransmissions);

/// Queues those updates from a peer that were not received before and returns
/// their evidence.
EvidenceView MergeEvidenceUpdates(EvidenceGossip& aGossip,
                                  ShortId aSelfId,
                                  const std::vector<EvidenceUpdate>& aReceived,
                                  int aTransmissions);

/// Chooses the updates that were sent least often, up to aMaxBytes; at least
/// one if any is queued.
std::vector<EvidenceUpdate> ChooseEvidenceUpdates(EvidenceGossip& aGossip,
                                                  std::size_t aMaxBytes);

/// Drops the received sequence numbers of all origins that are not listed.
void RetainOrigins(EvidenceGossip& aGossip,
                   const std::vector<ShortId>& aMemberIds);

} // namespace Acaciavale
