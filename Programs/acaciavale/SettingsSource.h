#pragma once

#include "CommandOptions.h"

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Where the settings commands take settings from: files or the store.
namespace Acaciavale {

/// "--store IP:PORT".
OptionSpec StoreOption();
OptionSpec GenerationOption();

/// A client for commands, which may wait longer than the server does.
std::unique_ptr<HttpKeyValueClient> MakeCommandClient(
  const std::string& aAddress);

/// Prints the error and returns the exit code that goes with it.
int ReportError(const std::string& aCommand, const Error& aError);

/// Prints how a command is used and returns the exit code for that.
int ReportUsage(const std::string& aUsage,
                const std::vector<OptionSpec>& aSpecs);

/// Loads the files without findings; prints the findings otherwise.
std::optional<std::vector<SettingsFile>> LoadCheckedFiles(
  const std::vector<std::string>& aPaths);

/// The settings that a command is about: those of the files named, or those
/// in the store, in force or of the generation asked for. Prints what is wrong
/// and sets the exit code otherwise.
std::optional<StoredSettings> LoadSource(const std::string& aCommand,
                                         const ParsedOptions& aOptions,
                                         const std::vector<std::string>& aFiles,
                                         int& aExitCode);

} // namespace Acaciavale
