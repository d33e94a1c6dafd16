#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale version withdraw|retire|serve`.
Command VersionCommand();

} // namespace Acaciavale
