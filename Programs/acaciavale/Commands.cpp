#include "Command.h"

namespace Acaciavale {

// Declared here and defined each in the file of its command.
const std::vector<Command>& Commands()
{
  static const std::vector<Command> sCommands{};
  return sCommands;
}

} // namespace Acaciavale
