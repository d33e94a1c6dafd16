#pragma once

#include "Command.h"

namespace Acaciavale {

/// `acaciavale version withdraw|retire|serve`: changes the state of a model
/// version.
Command VersionCommand();

} // namespace Acaciavale
