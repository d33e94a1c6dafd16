#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

#include <string>
#include <vector>

/// Edits of settings files that keep all other lines unchanged.
namespace Acaciavale {

/// Returns the files with a value set in a section. A missing section is
/// appended to the first file. Fails with Invalid if there is no file, the
/// section has no such key or the value is not allowed.
ErrorOr<std::vector<SettingsFile>> WithValue(std::vector<SettingsFile> aFiles,
                                             const SectionName& aSection,
                                             const std::string& aKey,
                                             const std::string& aValue);

/// A change of a version's state.
struct VersionStateChange
{
  std::string mModel;
  std::string mVersion;
  VersionState mState = VersionState::Withdrawn;
  bool mAllowsEmptyModel = false; ///< Sets may-be-empty of the model.

  auto operator<=>(const VersionStateChange&) const = default;
};

/// Returns the files with the version's state set. A withdrawn version is
/// removed from cascades that have other stages. Roll-outs to a version that no
/// longer serves are paused. Fails with NotFound if there is no such version.
ErrorOr<std::vector<SettingsFile>> WithVersionState(
  const std::vector<SettingsFile>& aFiles,
  const VersionStateChange& aRequest);

} // namespace Acaciavale
