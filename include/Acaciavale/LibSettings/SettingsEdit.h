#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

#include <string>
#include <vector>

/// Edits of the operators' files that leave all other lines as they are.
namespace Acaciavale {

/// States a value in a section. A section that is not there is added at the
/// end of the first file. Invalid where the section takes no such key.
ErrorOr<std::vector<SettingsFile>> WithValue(std::vector<SettingsFile> aFiles,
                                             const SectionName& aSection,
                                             const std::string& aKey,
                                             const std::string& aValue);

/// How a version is taken out of service.
struct VersionStateChange
{
  std::string mModel;
  std::string mVersion;
  VersionState mState = VersionState::Withdrawn;
  bool mAllowsEmptyModel = false; ///< Accounts may be left with no version.

  auto operator<=>(const VersionStateChange&) const = default;
};

/// Sets the version's state. A withdrawn one leaves the cascades that have
/// other stages; where it does not serve, roll-outs that lead to it pause.
/// NotFound where there is no such version.
ErrorOr<std::vector<SettingsFile>> WithVersionState(
  const std::vector<SettingsFile>& aFiles,
  const VersionStateChange& aRequest);

} // namespace Acaciavale
