#include "Command.h"

#include "BillsCommand.h"
#include "ReportCommand.h"
#include "RolloutCommand.h"
#include "ServeCommand.h"
#include "SettingsCommand.h"
#include "VersionCommand.h"

namespace Acaciavale {

// The function that returns each command is defined in the file of that
// command.
const std::vector<Command>& Commands()
{
  static const std::vector<Command> sCommands{
    ServeCommand(),   SettingsCommand(), VersionCommand(),
    RolloutCommand(), ReportCommand(),   BillsCommand()
  };
  return sCommands;
}

} // namespace Acaciavale
