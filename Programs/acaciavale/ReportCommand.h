#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale report burn`.
Command ReportCommand();

} // namespace Acaciavale
