#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale report burn`: shows how fast error budgets are spent.
Command ReportCommand();

} // namespace Acaciavale
