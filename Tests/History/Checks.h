#pragma once

#include "History.h"

#include <string>
#include <vector>

/// Invariants of the system, each checked by a function of the history.
namespace Acaciavale::History {

/// One violation of an invariant, described in a sentence.
struct Violation
{
  std::string mDescription;

  auto operator<=>(const Violation&) const = default;
};

using Violations = std::vector<Violation>;

/// A request runs only on a model and version that its account allows.
Violations CheckPermissions(const History& aHistory);

/// A withdrawn version receives no new work.
Violations CheckWithdrawals(const History& aHistory);

/// A session keeps its version unless that version is withdrawn. A session on a
/// cascade runs only stages of the cascade.
Violations CheckSessions(const History& aHistory);

/// Each answered request is billed exactly once. A call that was lost, or whose
/// refusal does not exclude that it ran, is billed at most once.
Violations CheckBills(const History& aHistory);

/// Each caller receives the complete answer to its own request.
Violations CheckAnswers(const History& aHistory);

/// A request refused as not run was not executed by any endpoint.
Violations CheckRefusals(const History& aHistory);

/// A non-repeatable call runs at most once, and all its answers are identical.
Violations CheckAtMostOnce(const History& aHistory);

/// A draining endpoint receives no new work.
Violations CheckDraining(const History& aHistory);

/// A planned stop of a VM cuts no connection with a request in flight.
Violations CheckPlannedStops(const History& aHistory);

/// The settings generation never decreases, in the store or on any VM.
Violations CheckGenerations(const History& aHistory);

/// A check and the printed name of its invariant.
struct InvariantCheck
{
  const char* mInvariant;
  Violations (*mCheck)(const History& aHistory);
};

/// All checks, in the order in which they are printed.
const std::vector<InvariantCheck>& InvariantChecks();

} // namespace Acaciavale::History
