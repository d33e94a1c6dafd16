#pragma once

#include "CallerMessages.h"
#include "Problem.h"
#include "ServerState.h"

#include <Acaciavale/LibSession/SessionToken.h>
#include <tl/expected.hpp>

/// What chat requests and service calls have in common before they run.
namespace Acaciavale {

/// A caller who was let in.
struct Caller
{
  std::shared_ptr<const Settings> mSettings; ///< As they were at admission.
  ClientAccountSettings mAccount;
  std::string mRequestId; ///< Request id.
  TimePoint mStartTime{};
  TimePoint mDeadline{};
};

/// Checks the caller's key, the deadline that it states, and whether this VM
/// takes new work at all.
tl::expected<Caller, Problem> Authenticate(ServerState& aServer,
                                           const CallerRequest& aRequest,
                                           std::string aRequestId);

/// Asks admission control; a success must be matched by FinishAdmission.
tl::expected<void, Problem> Admit(ServerState& aServer,
                                  const Caller& aCaller,
                                  Priority aPriority,
                                  const PoolLoad& aLoad);
void FinishAdmission(ServerState& aServer, const std::string& aAccount);

/// The load of a pool as this VM estimates it.
PoolLoad EstimatePoolLoad(const ServerState& aServer,
                          const EndpointRecords& aPool);

/// The addresses that callers may use, as JSON for GET /v1/entries.
std::string EntriesJson(const ServerState& aServer);

} // namespace Acaciavale
