#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// What the clients of the platform share in reading its JSON.
namespace Acaciavale {

/// Asks by GET and parses the answer; Unavailable for all but a 200.
ErrorOr<nlohmann::json> FetchJson(const std::string& aUrl, Duration aTimeout);

/// The member "loaded", empty where there is none; throws json::exception.
std::vector<LoadedVersion> LoadedVersionsOf(const nlohmann::json& aBody);

} // namespace Acaciavale
