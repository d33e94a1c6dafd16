#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

/// A replica that serves a few requests at once and queues the rest by class.
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

  /// Counts a request as sent here; it has not begun.
  void AddInFlight(std::uint32_t aVm);
  void RemoveInFlight(std::uint32_t aVm);

  /// Takes a slot if one is free.
  bool TryStart();
  void FreeSlot();
  void Queue(std::uint32_t aJob, std::size_t aPriority);
  /// The next queued request, most urgent first; false if there is none.
  bool PopQueued(std::uint32_t& aJob);

private:
  std::uint32_t mSlots;
  double mSlowdown; ///< Times as slow as an unhurried replica.
  std::uint32_t mRunning = 0;
  std::int32_t mInFlight = 0;
  std::vector<std::int32_t> mInFlightByVm;
  std::array<std::deque<std::uint32_t>, kPriorities> mQueues;
};

/// A prefix cache that forgets what was used least recently.
class SimulatedPrefixCache
{
public:
  explicit SimulatedPrefixCache(std::uint32_t aSlots)
    : mSlots(aSlots)
  {
  }

  /// Whether the prefix was there; it is afterwards. aEvicted is set to the
  /// prefix that had to go, if one had to.
  bool Touch(std::uint32_t aPrefix, std::int64_t& aEvicted);

private:
  std::uint32_t mSlots;
  std::deque<std::uint32_t> mPrefixes; ///< Most recently used first.
};

} // namespace Acaciavale::DecisionMeasure
