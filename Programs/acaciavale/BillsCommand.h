#pragma once

#include "Command.h"

namespace Acaciavale {

/// Shows the totals per account and checks the books.
Command BillsCommand();

} // namespace Acaciavale
