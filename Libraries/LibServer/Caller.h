#pragma once

#include "CallerMessages.h"
#include "Problem.h"
#include "ServerParts.h"

#include <Acaciavale/LibSession/SessionToken.h>
#include <tl/expected.hpp>

/// What chat requests and service calls have in common before they run.
namespace Acaciavale {

/// A caller who was let in.
struct Caller
{
  std::shared_ptr<const Settings> mSettings; ///< As they were at admission.
  ClientAccountSettings mAccount;
  std::string mRequest; ///< Request id.
  TimePoint mStart{};
  TimePoint mDeadline{};
};

/// Checks the caller's key, the deadline that it states, and whether this VM
/// takes new work at all.
tl::expected<Caller, Problem> Authenticate(ServerParts& aParts,
                                           const CallerRequest& aRequest,
                                           std::string aRequestId);

/// Asks admission control; a success must be matched by FinishAdmission.
tl::expected<void, Problem> Admit(ServerParts& aParts,
                                  const Caller& aCaller,
                                  Priority aPriority,
                                  const PoolLoad& aLoad);
void FinishAdmission(ServerParts& aParts, const std::string& aAccount);

/// The load of a pool as this VM estimates it.
PoolLoad LoadOf(const ServerParts& aParts, const EndpointRecords& aPool);

/// The addresses that callers may use, as JSON for GET /v1/entries.
std::string EntriesBody(const ServerParts& aParts);

} // namespace Acaciavale
