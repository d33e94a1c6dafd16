#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale serve`: one VM's part of the system.
Command ServeCommand();

} // namespace Acaciavale
