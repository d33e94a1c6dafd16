#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <cstddef>
#include <string>
#include <vector>

/// Session tokens: the versions that a session is pinned to, signed by the
/// server and stored by the caller.
namespace Acaciavale {

/// Content of a session token.
struct Session
{
  std::string mId;      ///< Random; determines the session's roll-out position.
  std::string mAccount; ///< Name of the client account.
  std::vector<CascadeStage> mVersions; ///< One version per model used.
  UnixMilliseconds mIssuedAt{};        ///< Time of creation.

  auto operator<=>(const Session&) const = default;
};

/// Maximum length of a token; longer tokens are rejected before parsing.
constexpr std::size_t kMaxTokenBytes = 4096;

/// Returns a token signed with the deployment's current session key. The token
/// is empty if the deployment has no valid key or the session exceeds the
/// maximum length.
std::string SignSession(const Session& aSession,
                        const DeploymentSettings& aDeployment);

/// Verifies a token against the current and the old session key. Errors:
/// Invalid if the token is too long, malformed or not signed with either key,
/// Forbidden if it belongs to another account.
ErrorOr<Session> VerifySession(const std::string& aToken,
                               const std::string& aAccount,
                               const DeploymentSettings& aDeployment);

/// Returns the session's version of the model, or an empty string if it has
/// none.
std::string SessionVersion(const Session& aSession, const std::string& aModel);

/// Returns the session with the given version of a model. An existing version
/// of the model is replaced, so call this only if the session has none or its
/// version is withdrawn.
Session WithVersion(const Session& aSession, const CascadeStage& aVersion);

/// Position of the session in roll-outs, in [0, 1), derived from a hash of its
/// ID.
double RolloutPosition(const Session& aSession);

} // namespace Acaciavale
