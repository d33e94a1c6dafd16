#pragma once

#include "CallerMessages.h"
#include "Problem.h"
#include "ServerState.h"

#include <Acaciavale/LibSession/SessionToken.h>
#include <tl/expected.hpp>

/// Authentication and admission, common to chat requests and service calls.
namespace Acaciavale {

/// The client account, settings and deadline of an authenticated request.
struct Caller
{
  std::shared_ptr<const Settings> mSettings; ///< In force at authentication.
  ClientAccountSettings mAccount;
  std::string mRequestId;
  TimePoint mStartTime{};
  TimePoint mDeadline{};
};

/// Checks whether this VM accepts new requests, the caller's key, and the
/// deadline that the request states.
tl::expected<Caller, Problem> Authenticate(ServerState& aServer,
                                           const CallerRequest& aRequest,
                                           std::string aRequestId);

/// Requests admission. Each success must be matched by a call of
/// FinishAdmission.
tl::expected<void, Problem> Admit(ServerState& aServer,
                                  const Caller& aCaller,
                                  Priority aPriority,
                                  const PoolLoad& aLoad);
void FinishAdmission(ServerState& aServer, const std::string& aAccount);

/// Estimates the load of a pool from the endpoint views of this VM.
PoolLoad EstimatePoolLoad(const ServerState& aServer,
                          const EndpointRecords& aPool);

/// The addresses to which callers may send requests, as JSON for
/// GET /v1/entries.
std::string EntriesJson(const ServerState& aServer);

} // namespace Acaciavale
