#pragma once

#include "CommandOptions.h"

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <functional>
#include <string>
#include <vector>

/// Commands that put other settings in force.
namespace Acaciavale {

OptionSpec AuthorOption();
OptionSpec ReasonOption();
OptionSpec DryRunOption();

/// One change, with all that is reported about it.
struct SettingsChange
{
  std::string mCommand; ///< For messages.
  StoredSettings mBefore;
  std::vector<SettingsFile> mAfter;
  std::string mAuthor;
  std::string mReason;
  bool mOutputsJson = false;
  bool mDryRun = false; ///< Shows the difference and changes nothing.

  auto operator<=>(const SettingsChange&) const = default;
};

/// Shows what the change means and applies it against the generation that it
/// was made from; returns the exit code. After a lost race it shows what came
/// between.
int ApplyChange(const KeyValueStore& aStore, const SettingsChange& aChange);

using SettingsEditor = std::function<ErrorOr<std::vector<SettingsFile>>(
  const std::vector<SettingsFile>& aFiles)>;

/// Fetches the settings in force, edits them and carries the change out.
/// Options: store, author, reason, dry-run, output.
int EditAndApply(const std::string& aCommand,
                 const ParsedOptions& aOptions,
                 const SettingsEditor& aEdit);

/// The options that EditAndApply takes.
std::vector<OptionSpec> EditOptions();

} // namespace Acaciavale
