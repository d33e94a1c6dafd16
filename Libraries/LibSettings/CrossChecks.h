#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

namespace Acaciavale {

/// Adds the findings that involve several sections: missing settings, unknown
/// names, withdrawn stages, accounts without a serving version, invalid keys,
/// limits, routes and roll-out shares.
void AddCrossSectionFindings(const SettingsTree& aTree,
                             const Settings& aSettings,
                             Findings& aFindings);

} // namespace Acaciavale
