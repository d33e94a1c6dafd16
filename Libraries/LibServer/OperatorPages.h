#pragma once

#include "CallerMessages.h"
#include "ServerParts.h"

namespace Acaciavale {

/// Answers on the operators' address: /healthz, /readyz, /metrics, /status and
/// /decisions/{request}. Read-only.
void AnswerOperator(ServerParts& aParts,
                    const CallerRequest& aRequest,
                    const CallerResponse& aResponse);

} // namespace Acaciavale
