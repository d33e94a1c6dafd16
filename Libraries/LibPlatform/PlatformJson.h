#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// JSON helpers shared by the clients of platform services.
namespace Acaciavale {

/// Sends a GET request and parses the response as a JSON object. Fails with
/// Unavailable unless the status is 200.
ErrorOr<nlohmann::json> FetchJson(const std::string& aUrl, Duration aTimeout);

/// Parses the member "loaded"; empty if it is absent. Throws json::exception if
/// it is malformed.
std::vector<LoadedVersion> LoadedVersionsOf(const nlohmann::json& aBody);

} // namespace Acaciavale
