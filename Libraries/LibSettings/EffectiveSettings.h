#pragma once

#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

namespace Acaciavale {

/// Resolves the effective settings. An invalid value is replaced by its
/// default, so that the checks across sections can run even if single values
/// have findings.
Settings BuildSettings(const SettingsTree& aTree);

/// Returns the sections of a kind that define an object, in file order: those
/// that have a path and are not a group.
std::vector<const TreeSection*> FindLeafSections(const SettingsTree& aTree,
                                                 SectionKind aKind);

/// Returns the last segment of a path.
std::string LastPathSegment(const std::string& aPath);

} // namespace Acaciavale
