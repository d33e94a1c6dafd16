#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

/// Simulated replica with a fixed number of slots. Requests that find no free
/// slot wait in one queue per priority.
namespace Acaciavale::DecisionMeasure {

constexpr std::size_t kPriorities = 3;

class SimulatedReplica
{
public:
  SimulatedReplica(std::uint32_t aSlots, double aSlowdown, std::uint32_t aVms);

  double Slowdown() const { return mSlowdown; }
  std::int32_t InFlight() const { return mInFlight; }
  const std::vector<std::int32_t>& InFlightByVm() const
  {
    return mInFlightByVm;
  }

  /// Counts a request that was dispatched to this replica as in flight, before
  /// its service starts.
  void AddInFlight(std::uint32_t aVm);
  void RemoveInFlight(std::uint32_t aVm);

  /// Occupies a slot; returns false if none is free.
  bool TryStart();
  void FreeSlot();
  void Queue(std::uint32_t aJob, std::size_t aPriority);
  /// Removes the first request of the most urgent queue that is not empty;
  /// returns false if all queues are empty.
  bool PopQueued(std::uint32_t& aJob);

private:
  std::uint32_t mSlots;
  double mSlowdown; ///< Service time relative to a replica of normal speed.
  std::uint32_t mRunning = 0;
  std::int32_t mInFlight = 0;
  std::vector<std::int32_t> mInFlightByVm;
  std::array<std::deque<std::uint32_t>, kPriorities> mQueues;
};

/// Simulated prefix cache with LRU eviction.
class SimulatedPrefixCache
{
public:
  explicit SimulatedPrefixCache(std::uint32_t aSlots)
    : mSlots(aSlots)
  {
  }

  /// Marks the prefix as most recently used, adding it if necessary. Returns
  /// whether it was cached before. aEvicted is set to the evicted prefix, or to
  /// -1 if none was evicted.
  bool Touch(std::uint32_t aPrefix, std::int64_t& aEvicted);

private:
  std::uint32_t mSlots;
  std::deque<std::uint32_t> mPrefixes; ///< Most recently used first.
};

} // namespace Acaciavale::DecisionMeasure
