#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstddef>
#include <string>
#include <vector>

/// The session's versions, signed and carried by the caller.
namespace Acaciavale {

struct Session
{
  std::string mId; ///< Random; fixes the session's place in a roll-out.
  std::string mAccount;
  std::vector<CascadeStage> mVersions; ///< One per model used so far.
  UnixMilliseconds mIssuedAt{};

  auto operator<=>(const Session&) const = default;
};

/// Longest token that is looked at, in bytes.
constexpr std::size_t kMaxTokenBytes = 4096;

/// Signs with the deployment's current session key. Empty when the deployment
/// has no usable key or the session is too large for a token.
std::string SignSession(const Session& aSession,
                        const DeploymentSettings& aDeployment);

/// Accepts the current and the old key. Errors: Invalid for a token that is
/// malformed or not ours, Forbidden for another account's.
ErrorOr<Session> VerifySession(const std::string& aToken,
                               const std::string& aAccount,
                               const DeploymentSettings& aDeployment);

/// The version that the session keeps for the model; empty for none.
std::string SessionVersion(const Session& aSession, const std::string& aModel);

/// The session with this version added for its model. A version that the
/// session already has for the model is replaced, so only call this when the
/// session has none or its version is withdrawn.
Session WithVersion(const Session& aSession, const CascadeStage& aVersion);

/// The session's point in [0, 1), from its id.
double RolloutPosition(const Session& aSession);

} // namespace Acaciavale
