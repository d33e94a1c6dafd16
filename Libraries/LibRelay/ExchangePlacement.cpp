#include "Exchange.h"

#include <array>
#include <cstdio>
#include <utility>

/// The part of Exchange that reports what decided about the choice of an
/// endpoint.
namespace Acaciavale::Relay {

void Exchange::NoteMemory(const EndpointSelection& aSelection)
{
  if (aSelection.mWithoutMemory == 0) {
    return;
  }
  mState->mMetrics.Count("acaciavale_relay_engines_without_memory_total",
                         { { "pool", mPool } },
                         aSelection.mWithoutMemory);
  // NOTE: A request that waits is tried many times; the log names the first.
  if (!std::exchange(mHasLackedMemory, true)) {
    mAttemptTrace +=
      " without-memory=" + std::to_string(aSelection.mWithoutMemory);
  }
}

void Exchange::NotePlacement(const EndpointSelection& aSelection)
{
  if (!aSelection.mSizePlacement) {
    return;
  }
  const SizePlacement& placement = *aSelection.mSizePlacement;
  const std::string size = placement.mIsLong ? "long" : "short";
  const std::string place = placement.mSeconds > 0 ? "other" : "preferred";
  mState->mMetrics.Count(
    "acaciavale_relay_size_placements_total",
    { { "pool", mPool }, { "size", size }, { "place", place } });
  std::array<char, 32> cost{};
  std::snprintf(cost.data(), cost.size(), "%.3f", placement.mSeconds);
  mAttemptTrace +=
    " size=" + size + " place=" + place + " size-cost-s=" + cost.data();
}

} // namespace Acaciavale::Relay
