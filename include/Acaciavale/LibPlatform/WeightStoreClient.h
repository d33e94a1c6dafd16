#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <string>

/// The rate-limited store of the models' weights.
namespace Acaciavale {

/// Whether a fetch was allowed, and if not, when to ask again.
struct WeightFetch
{
  bool mAllowed = false;
  Duration mRetryAfter{};

  auto operator<=>(const WeightFetch&) const = default;
};

/// Thread-safe; each call blocks up to the deadline.
class WeightStoreClient
{
public:
  /// The address is an IP number and port.
  WeightStoreClient(std::string aAddress, Duration aTimeout);

  /// Asks for the weights of one version.
  ErrorOr<WeightFetch> Fetch(const LoadedVersion& aVersion) const;

private:
  std::string mAddress;
  Duration mTimeout;
};

} // namespace Acaciavale
