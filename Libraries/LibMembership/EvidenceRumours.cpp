#include "EvidenceRumours.h"
#include "DigestCodec.h"

#include <algorithm>

namespace Acaciavale {

namespace {

constexpr std::uint32_t kWindow = 64;
constexpr std::size_t kMostCarried = 1024;
constexpr std::size_t kMostOrigins = 4096;
constexpr std::size_t kCellsPerRumour = 2;
constexpr std::size_t kCellOverheadBytes = 40;
constexpr std::size_t kRumourOverheadBytes = 12;

std::size_t BytesOf(const EvidenceRumour& aRumour)
{
  std::size_t bytes = kRumourOverheadBytes;
  for (const auto& [key, cell] : aRumour.mCells) {
    bytes += kCellOverheadBytes + key.mModel.size() + key.mVersion.size() +
             key.mKind.size();
  }
  return bytes;
}

void Carry(EvidenceRumours& aRumours, EvidenceRumour aRumour, int aSends)
{
  if (aRumours.mCarried.size() >= kMostCarried) {
    // NOTE: Evidence is a sample. The rumour that was told most often is the
    //       one that is missed least.
    const auto least = std::min_element(
      aRumours.mCarried.begin(),
      aRumours.mCarried.end(),
      [](const CarriedRumour& aLeft, const CarriedRumour& aRight) {
        return aLeft.mSendsLeft < aRight.mSendsLeft;
      });
    aRumours.mCarried.erase(least);
  }
  const std::size_t bytes = BytesOf(aRumour);
  aRumours.mCarried.push_back({ std::move(aRumour), aSends, bytes });
}

} // namespace

bool MarkSeen(SeenSequences& aSeen, std::uint32_t aSequence)
{
  if (aSequence == 0) {
    return false;
  }
  if (aSequence > aSeen.mHighest) {
    const std::uint32_t step = aSequence - aSeen.mHighest;
    aSeen.mWindow = step >= kWindow ? 0 : aSeen.mWindow << step;
    aSeen.mWindow |= 1;
    aSeen.mHighest = aSequence;
    return true;
  }
  const std::uint32_t behind = aSeen.mHighest - aSequence;
  if (behind >= kWindow || ((aSeen.mWindow >> behind) & 1) != 0) {
    return false;
  }
  aSeen.mWindow |= std::uint64_t(1) << behind;
  return true;
}

std::size_t AddOwnEvidence(EvidenceRumours& aRumours,
                           ShortId aSelf,
                           const EvidenceView& aEvidence,
                           int aSends)
{
  std::size_t bytes = 0;
  EvidenceRumour rumour{ aSelf, 0, {} };
  const auto flush = [&] {
    rumour.mSequence = aRumours.mNextSequence++;
    bytes += BytesOf(rumour);
    Carry(aRumours, std::move(rumour), aSends);
    rumour = EvidenceRumour{ aSelf, 0, {} };
  };
  for (const auto& [key, cell] : aEvidence) {
    rumour.mCells.emplace(key, cell);
    if (rumour.mCells.size() == kCellsPerRumour) {
      flush();
    }
  }
  if (!rumour.mCells.empty()) {
    flush();
  }
  return bytes;
}

EvidenceView MergeRumours(EvidenceRumours& aRumours,
                          ShortId aSelf,
                          const std::vector<EvidenceRumour>& aTold,
                          int aSends)
{
  EvidenceView fresh;
  for (const EvidenceRumour& rumour : aTold) {
    const bool full = aRumours.mSeen.size() >= kMostOrigins &&
                      !aRumours.mSeen.contains(rumour.mOrigin);
    if (rumour.mOrigin == aSelf || full ||
        !MarkSeen(aRumours.mSeen[rumour.mOrigin], rumour.mSequence)) {
      continue;
    }
    for (const auto& [key, cell] : rumour.mCells) {
      EvidenceCell& sum = fresh[key];
      sum = sum + cell;
    }
    Carry(aRumours, rumour, aSends);
  }
  return fresh;
}

std::vector<EvidenceRumour> ChooseRumours(EvidenceRumours& aRumours,
                                          std::size_t aMostBytes)
{
  std::stable_sort(aRumours.mCarried.begin(),
                   aRumours.mCarried.end(),
                   [](const CarriedRumour& aLeft, const CarriedRumour& aRight) {
                     return aLeft.mSendsLeft > aRight.mSendsLeft;
                   });
  std::vector<EvidenceRumour> chosen;
  std::size_t bytes = 0;
  for (CarriedRumour& carried : aRumours.mCarried) {
    const bool full =
      chosen.size() >= static_cast<std::size_t>(kMaxRumoursPerDigest);
    if (full || (!chosen.empty() && bytes + carried.mBytes > aMostBytes)) {
      break;
    }
    bytes += carried.mBytes;
    --carried.mSendsLeft;
    chosen.push_back(carried.mRumour);
  }
  std::erase_if(aRumours.mCarried, [](const CarriedRumour& aCarried) {
    return aCarried.mSendsLeft <= 0;
  });
  return chosen;
}

void ForgetOrigins(EvidenceRumours& aRumours,
                   const std::vector<ShortId>& aMembers)
{
  std::erase_if(aRumours.mSeen, [&aMembers](const auto& aItem) {
    return std::find(aMembers.begin(), aMembers.end(), aItem.first) ==
           aMembers.end();
  });
}

} // namespace Acaciavale
