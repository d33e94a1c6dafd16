#pragma once

#include "History.h"

#include <string>
#include <vector>

/// The promises, each checked by a function of the history.
namespace Acaciavale::History {

/// One breach of a promise, in a sentence.
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

/// A session keeps its version, unless that was withdrawn; one on a cascade
/// keeps to the stages of the cascade.
Violations CheckSessions(const History& aHistory);

/// Each request is billed exactly once. A call whose answer was lost may be
/// billed or not; all others are counted exactly.
Violations CheckBills(const History& aHistory);

/// Each caller receives the whole answer to its own request.
Violations CheckAnswers(const History& aHistory);

/// A refusal saying "not run" is true.
Violations CheckRefusals(const History& aHistory);

/// A call that may not be repeated runs at most once, and all of its answers
/// are the same.
Violations CheckAtMostOnce(const History& aHistory);

/// A leaving endpoint receives no new work.
Violations CheckDraining(const History& aHistory);

/// A planned stop cuts no request.
Violations CheckPlannedStops(const History& aHistory);

/// The generation of the settings never goes back.
Violations CheckGenerations(const History& aHistory);

/// A check with the promise that it is for.
struct InvariantCheck
{
  const char* mInvariant;
  Violations (*mCheck)(const History& aHistory);
};

/// All of them, in the order of the promises.
const std::vector<InvariantCheck>& InvariantChecks();

} // namespace Acaciavale::History
