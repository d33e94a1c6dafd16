#include "Command.h"

#include "RolloutCommand.h"
#include "SettingsCommand.h"
#include "VersionCommand.h"

namespace Acaciavale {

// Declared here and defined each in the file of its command.
const std::vector<Command>& Commands()
{
  static const std::vector<Command> sCommands{ SettingsCommand(),
                                               VersionCommand(),
                                               RolloutCommand() };
  return sCommands;
}

} // namespace Acaciavale
