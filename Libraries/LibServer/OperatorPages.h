#pragma once

#include "CallerMessages.h"
#include "ServerState.h"

namespace Acaciavale {

/// Answers on the operators' address: /healthz, /readyz, /metrics, /status,
/// /settings, /settings/files, /history and /decisions/{request}. Read-only;
/// secrets are never shown.
void HandleOperatorRequest(ServerState& aServer,
                           const CallerRequest& aRequest,
                           const CallerResponse& aResponse);

} // namespace Acaciavale
