#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale serve`: runs the router on one VM.
Command ServeCommand();

} // namespace Acaciavale
