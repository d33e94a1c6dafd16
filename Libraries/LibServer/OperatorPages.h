#pragma once

#include "CallerMessages.h"
#include "ServerState.h"

namespace Acaciavale {

/// Answers requests to the operator address: /healthz, /readyz, /metrics,
/// /status, /settings, /settings/files, /history and /decisions/{request}. All
/// pages are read-only and never contain secrets.
void HandleOperatorRequest(ServerState& aServer,
                           const CallerRequest& aRequest,
                           const CallerResponse& aResponse);

} // namespace Acaciavale
