#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <string>

/// Client of the rate-limited store of model weights.
namespace Acaciavale {

/// Whether a fetch was allowed, and if not, the delay before a retry.
struct WeightFetch
{
  bool mAllowed = false;
  Duration mRetryAfter{};

  auto operator<=>(const WeightFetch&) const = default;
};

/// Client of the weight store. Thread-safe; each call blocks up to the timeout.
class WeightStoreClient
{
public:
  /// The address consists of an IP address and port.
  WeightStoreClient(std::string aAddress, Duration aTimeout);

  /// Requests permission to fetch the weights of one version.
  ErrorOr<WeightFetch> Fetch(const LoadedVersion& aVersion) const;

private:
  std::string mAddress;
  Duration mTimeout;
};

} // namespace Acaciavale
