#pragma once

#include "CommandOptions.h"

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Loads the settings for the settings commands, from files or from the store.
namespace Acaciavale {

/// The option "--store IP:PORT".
OptionSpec StoreOption();
/// The option "--generation N".
OptionSpec GenerationOption();

/// Returns a store client whose timeout is longer than the server's, since a
/// command may wait longer.
std::unique_ptr<HttpKeyValueClient> MakeCommandClient(
  const std::string& aAddress);

/// Prints the error and returns its exit code.
int ReportError(const std::string& aCommand, const Error& aError);

/// Prints the usage of a command and returns kExitUsage.
int ReportUsage(const std::string& aUsage,
                const std::vector<OptionSpec>& aSpecs);

/// Loads and checks the files. If there are findings, prints them and returns
/// nothing.
std::optional<std::vector<SettingsFile>> LoadCheckedFiles(
  const std::vector<std::string>& aPaths);

/// Loads the settings that a command works on: from the given files, or from
/// the store, where they are those in force unless --generation selects a past
/// generation. On failure, prints the error and sets the exit code.
std::optional<StoredSettings> LoadSource(const std::string& aCommand,
                                         const ParsedOptions& aOptions,
                                         const std::vector<std::string>& aFiles,
                                         int& aExitCode);

} // namespace Acaciavale
