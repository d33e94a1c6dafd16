#include "SettingsCommand.h"

#include <Acaciavale/LibSettings/SettingsTable.h>

#include <cstdio>

namespace Acaciavale {

int SettingsReference(const std::vector<std::string>& /*aArguments*/)
{
  std::fputs(RenderReference().c_str(), stdout);
  return kExitDone;
}

} // namespace Acaciavale
