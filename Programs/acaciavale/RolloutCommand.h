#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale rollout start|pause|resume|status`: manages roll-outs.
Command RolloutCommand();

} // namespace Acaciavale
