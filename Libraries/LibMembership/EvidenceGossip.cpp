#include "EvidenceGossip.h"
#include "DigestCodec.h"

#include <algorithm>

namespace Acaciavale {

namespace {

constexpr std::uint32_t kWindowBits = 64;
constexpr std::size_t kMaxQueuedUpdates = 1024;
constexpr std::size_t kMaxOrigins = 4096;
constexpr std::size_t kCellsPerUpdate = 2;
constexpr std::size_t kCellOverheadBytes = 40;
constexpr std::size_t kUpdateOverheadBytes = 12;

std::size_t EstimateBytes(const EvidenceUpdate& aUpdate)
{
  std::size_t bytes = kUpdateOverheadBytes;
  for (const auto& [key, cell] : aUpdate.mCells) {
    bytes += kCellOverheadBytes + key.mModel.size() + key.mVersion.size() +
             key.mKind.size();
  }
  return bytes;
}

void Enqueue(EvidenceGossip& aGossip,
             EvidenceUpdate aUpdate,
             int aTransmissions)
{
  if (aGossip.mQueue.size() >= kMaxQueuedUpdates) {
    // NOTE: Evidence is a sample, so an update may be lost. The update that was
    //       sent most often has reached the most VMs already.
    const auto fewestLeft = std::min_element(
      aGossip.mQueue.begin(),
      aGossip.mQueue.end(),
      [](const QueuedUpdate& aLeft, const QueuedUpdate& aRight) {
        return aLeft.mTransmissionsLeft < aRight.mTransmissionsLeft;
      });
    aGossip.mQueue.erase(fewestLeft);
  }
  const std::size_t bytes = EstimateBytes(aUpdate);
  aGossip.mQueue.push_back({ std::move(aUpdate), aTransmissions, bytes });
}

} // namespace

bool MarkReceived(ReceivedSequences& aReceivedSequences,
                  std::uint32_t aSequence)
{
  if (aSequence == 0) {
    return false;
  }
  if (aSequence > aReceivedSequences.mHighestSequence) {
    const std::uint32_t advance =
      aSequence - aReceivedSequences.mHighestSequence;
    aReceivedSequences.mReceivedBits =
      advance >= kWindowBits ? 0 : aReceivedSequences.mReceivedBits << advance;
    aReceivedSequences.mReceivedBits |= 1;
    aReceivedSequences.mHighestSequence = aSequence;
    return true;
  }
  const std::uint32_t behind = aReceivedSequences.mHighestSequence - aSequence;
  if (behind >= kWindowBits ||
      ((aReceivedSequences.mReceivedBits >> behind) & 1) != 0) {
    return false;
  }
  aReceivedSequences.mReceivedBits |= std::uint64_t(1) << behind;
  return true;
}

std::size_t AddLocalEvidence(EvidenceGossip& aGossip,
                             ShortId aSelfId,
                             const EvidenceView& aEvidence,
                             int aTransmissions)
{
  std::size_t bytes = 0;
  EvidenceUpdate update{ aSelfId, 0, {} };
  const auto flush = [&] {
    update.mSequence = aGossip.mNextSequence++;
    bytes += EstimateBytes(update);
    Enqueue(aGossip, std::move(update), aTransmissions);
    update = EvidenceUpdate{ aSelfId, 0, {} };
  };
  for (const auto& [key, cell] : aEvidence) {
    update.mCells.emplace(key, cell);
    if (update.mCells.size() == kCellsPerUpdate) {
      flush();
    }
  }
  if (!update.mCells.empty()) {
    flush();
  }
  return bytes;
}

EvidenceView MergeEvidenceUpdates(EvidenceGossip& aGossip,
                                  ShortId aSelfId,
                                  const std::vector<EvidenceUpdate>& aReceived,
                                  int aTransmissions)
{
  EvidenceView newEvidence;
  for (const EvidenceUpdate& update : aReceived) {
    const bool full = aGossip.mReceivedByOrigin.size() >= kMaxOrigins &&
                      !aGossip.mReceivedByOrigin.contains(update.mOrigin);
    if (update.mOrigin == aSelfId || full ||
        !MarkReceived(aGossip.mReceivedByOrigin[update.mOrigin],
                      update.mSequence)) {
      continue;
    }
    for (const auto& [key, cell] : update.mCells) {
      EvidenceCell& sum = newEvidence[key];
      sum = sum + cell;
    }
    Enqueue(aGossip, update, aTransmissions);
  }
  return newEvidence;
}

std::vector<EvidenceUpdate> ChooseEvidenceUpdates(EvidenceGossip& aGossip,
                                                  std::size_t aMaxBytes)
{
  std::stable_sort(aGossip.mQueue.begin(),
                   aGossip.mQueue.end(),
                   [](const QueuedUpdate& aLeft, const QueuedUpdate& aRight) {
                     return aLeft.mTransmissionsLeft >
                            aRight.mTransmissionsLeft;
                   });
  std::vector<EvidenceUpdate> chosen;
  std::size_t bytes = 0;
  for (QueuedUpdate& queued : aGossip.mQueue) {
    const bool full =
      chosen.size() >= static_cast<std::size_t>(kMaxUpdatesPerDigest);
    if (full || (!chosen.empty() && bytes + queued.mBytes > aMaxBytes)) {
      break;
    }
    bytes += queued.mBytes;
    --queued.mTransmissionsLeft;
    chosen.push_back(queued.mUpdate);
  }
  std::erase_if(aGossip.mQueue, [](const QueuedUpdate& aQueued) {
    return aQueued.mTransmissionsLeft <= 0;
  });
  return chosen;
}

void RetainOrigins(EvidenceGossip& aGossip,
                   const std::vector<ShortId>& aMemberIds)
{
  std::erase_if(aGossip.mReceivedByOrigin, [&aMemberIds](const auto& aItem) {
    return std::find(aMemberIds.begin(), aMemberIds.end(), aItem.first) ==
           aMemberIds.end();
  });
}

} // namespace Acaciavale
