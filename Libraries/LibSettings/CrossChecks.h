#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

namespace Acaciavale {

/// Adds the findings that concern several sections at once: dangling names,
/// withdrawn stages, accounts left with nothing, shares of roll-outs, limits.
void AddCrossSectionFindings(const SettingsTree& aTree,
                             const Settings& aSettings,
                             Findings& aFindings);

} // namespace Acaciavale
