#pragma once

#include "Command.h"

#include <string>
#include <vector>

namespace Acaciavale {

/// `acaciavale settings`: checks, explains, compares and applies settings.
Command SettingsCommand();

// The subcommands, each implemented in the file of the same name.
int SettingsCheck(const std::vector<std::string>& aArguments);
int SettingsExplain(const std::vector<std::string>& aArguments);
int SettingsShow(const std::vector<std::string>& aArguments);
int SettingsDiff(const std::vector<std::string>& aArguments);
int SettingsApply(const std::vector<std::string>& aArguments);
int SettingsExport(const std::vector<std::string>& aArguments);
int SettingsHistory(const std::vector<std::string>& aArguments);
int SettingsStatus(const std::vector<std::string>& aArguments);
int SettingsVerify(const std::vector<std::string>& aArguments);
int SettingsHashKey(const std::vector<std::string>& aArguments);
int SettingsReference(const std::vector<std::string>& aArguments);

} // namespace Acaciavale
