#pragma once

#include "CommandOptions.h"

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <functional>
#include <string>
#include <vector>

/// Functions shared by the commands that change the settings in force.
namespace Acaciavale {

OptionSpec AuthorOption();
OptionSpec ReasonOption();
OptionSpec DryRunOption();

/// A change of the settings, and how it is recorded and shown.
struct SettingsChange
{
  std::string mCommand; ///< Name of the command, for error messages.
  StoredSettings mBefore;
  std::vector<SettingsFile> mAfter;
  std::string mAuthor;
  std::string mReason;
  bool mOutputsJson = false;
  bool mDryRun = false; ///< Shows the difference and changes nothing.

  auto operator<=>(const SettingsChange&) const = default;
};

/// Shows the effects of the change and applies it on condition that the
/// generation it is based on is still in force; returns the exit code. On a
/// conflict, shows what was applied meanwhile.
int ApplyChange(const KeyValueStore& aStore, const SettingsChange& aChange);

/// Returns an edited copy of the settings files.
using SettingsEditor = std::function<ErrorOr<std::vector<SettingsFile>>(
  const std::vector<SettingsFile>& aFiles)>;

/// Fetches the settings in force, edits them and applies the change. Uses the
/// options store, author, reason, dry-run and output.
int EditAndApply(const std::string& aCommand,
                 const ParsedOptions& aOptions,
                 const SettingsEditor& aEdit);

/// The options that EditAndApply uses.
std::vector<OptionSpec> EditOptions();

} // namespace Acaciavale
