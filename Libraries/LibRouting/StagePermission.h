#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Checks a stage against the settings and the session, before scoring.
namespace Acaciavale {

/// Returns the account, or null if it does not exist.
const ClientAccountSettings* FindAccount(const Settings& aSettings,
                                         const std::string& aAccount);

/// Whether the account may request this model or cascade.
bool MayName(const ClientAccountSettings& aAccount, const std::string& aTarget);

/// Returns the stages of a target: one for a model, all for a cascade, none for
/// an unknown name. A stage with an empty version stands for any permitted
/// version of its model.
std::vector<CascadeStage> StagesOf(const Settings& aSettings,
                                   const std::string& aTarget);

/// Whether the caller's session is pinned to this version.
bool IsPinnedBySession(const RequestProfile& aProfile,
                       const CascadeStage& aStage);

/// Returns the version of the model that the session is pinned to, or null if
/// there is none that may still be dispatched.
const CascadeStage* UsableSessionVersion(const RequestProfile& aProfile,
                                         const Settings& aSettings,
                                         const std::string& aModel);

} // namespace Acaciavale
