#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale rollout start|pause|resume|status`.
Command RolloutCommand();

} // namespace Acaciavale
