#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// What the settings and the session say of one stage, before any scoring.
namespace Acaciavale {

/// Finds an account, or null.
const ClientAccountSettings* FindAccount(const Settings& aSettings,
                                         const std::string& aAccount);

/// Whether the account may name this model or cascade.
bool MayName(const ClientAccountSettings& aAccount, const std::string& aTarget);

/// The stages behind a target: one for a model, all for a cascade, none for an
/// unknown name. An empty version means any permitted version.
std::vector<CascadeStage> StagesOf(const Settings& aSettings,
                                   const std::string& aTarget);

/// Whether the caller's session holds this very version.
bool IsPinnedBySession(const RequestProfile& aProfile,
                       const CascadeStage& aStage);

/// The version of the model that the session holds and that may still serve
/// it, or null.
const CascadeStage* UsableSessionVersion(const RequestProfile& aProfile,
                                         const Settings& aSettings,
                                         const std::string& aModel);

} // namespace Acaciavale
