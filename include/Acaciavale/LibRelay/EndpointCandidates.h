#pragma once

#include <Acaciavale/LibRelay/EndpointRegistry.h>

/// Which endpoints of a pool may take an attempt now.
namespace Acaciavale::Relay {

/// This VM's permit for an endpoint whose requests are bounded.
struct EndpointPermit
{
  double mPerSecond = 0;             ///< Bound for all VMs together.
  std::optional<PermitShare> mShare; ///< Empty: this VM holds no permits.
  TimePoint mNextAt{};               ///< Time from which a request may be sent.

  auto operator<=>(const EndpointPermit&) const = default;
};

/// The conditions that hold for all endpoints of a selection.
struct CandidateRules
{
  std::set<std::string> mEvacuatedDomains;
  /// The permit for an endpoint; empty if its requests are not bounded.
  std::function<std::optional<EndpointPermit>(Endpoint&)> mPermitOf;
};

struct EndpointCandidates
{
  /// Indices of the endpoints that may take the attempt, in ascending order.
  std::vector<std::uint32_t> mIndices;
  /// Endpoints that may run the work and were not tried, with those that have
  /// no room now.
  std::uint32_t mUsable = 0;
  std::uint32_t mFull = 0; ///< Usable ones at their limit of attempts.
  /// Usable ones that only lack memory for the work; candidates if there are no
  /// others.
  std::uint32_t mWithoutMemory = 0;
  LimitedEndpoints mLimited;
  /// Earliest end of the quiet times of endpoints that may run the work.
  std::optional<TimePoint> mQuietUntil;
  bool mAllWantQuiet = true;
};

EndpointCandidates FindCandidates(
  const std::vector<std::shared_ptr<Endpoint>>& aEndpoints,
  const EndpointSelectionQuery& aQuery,
  const CandidateRules& aRules,
  TimePoint aNow);

/// The result of a selection without an endpoint: why there is none, and what
/// the request may wait for.
EndpointSelection SelectionWithout(const EndpointCandidates& aCandidates);

} // namespace Acaciavale::Relay
