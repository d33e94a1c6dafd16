#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale bills`: shows the totals per account and reconciles the ledgers.
Command BillsCommand();

} // namespace Acaciavale
