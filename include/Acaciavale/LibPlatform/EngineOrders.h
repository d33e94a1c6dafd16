#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <string>

/// Orders to model engines: load, unload, drain.
namespace Acaciavale {

/// Sends one order, a JSON body that includes its fencing number. Errors:
/// Conflict if the engine rejected an old fencing number, Unavailable if
/// nothing was sent or the engine returned another error status, OutcomeUnknown
/// if the engine may have accepted the order. Orders are idempotent by id, so
/// an order with an unknown outcome may be sent again.
ErrorOr<void> SendEngineOrder(const std::string& aAddress,
                              const std::string& aBody,
                              Duration aTimeout);

} // namespace Acaciavale
