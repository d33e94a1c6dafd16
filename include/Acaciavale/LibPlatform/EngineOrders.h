#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <string>

/// Orders to model engines: load, unload, drain.
namespace Acaciavale {

/// Sends one order, a JSON body with its fencing number. Errors: Conflict where
/// the engine refused it for an old fencing number, Unavailable where nothing
/// was sent, OutcomeUnknown where it may have been taken. Orders are idempotent
/// by their id, so an order in doubt may be sent again.
ErrorOr<void> SendEngineOrder(const std::string& aAddress,
                              const std::string& aBody,
                              Duration aTimeout);

} // namespace Acaciavale
