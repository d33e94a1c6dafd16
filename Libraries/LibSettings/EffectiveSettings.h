#pragma once

#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

namespace Acaciavale {

/// Works out the effective settings. Values that are wrong give the default,
/// so that checks across sections can run beside findings of single values.
Settings BuildSettings(const SettingsTree& aTree);

/// The sections of a kind that stand for something of their own, in the order
/// of the files: those with a path that are no group.
std::vector<const TreeSection*> FindLeafSections(const SettingsTree& aTree,
                                                 SectionKind aKind);

/// The last name of a path.
std::string LastPathSegment(const std::string& aPath);

} // namespace Acaciavale
