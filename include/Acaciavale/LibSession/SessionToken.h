#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <string>
#include <vector>

/// The session's versions, signed and carried by the caller.
namespace Acaciavale {

struct Session
{
  std::string mId; ///< Random; fixes the session's place in a roll-out.
  std::string mAccount;
  std::vector<CascadeStage> mVersions; ///< One per model used so far.
  UnixMilliseconds mIssued{};

  auto operator<=>(const Session&) const = default;
};

/// Signs with the deployment's current session key.
std::string SignSession(const Session& aSession,
                        const DeploymentSettings& aDeployment);

/// Accepts the current and the old key. Errors: Invalid for a token that is
/// malformed or not ours, Forbidden for another account's.
ErrorOr<Session> VerifySession(const std::string& aToken,
                               const std::string& aAccount,
                               const DeploymentSettings& aDeployment);

/// The session's point in [0, 1), from its id.
double SessionPoint(const Session& aSession);

} // namespace Acaciavale
