#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <string>
#include <vector>

/// The platform's list of endpoints on live and leaving VMs. The list lags
/// behind the actual state.
namespace Acaciavale {

/// A model version that an engine has loaded.
struct LoadedVersion
{
  std::string mModel;
  std::string mVersion;

  auto operator<=>(const LoadedVersion&) const = default;
};

/// One endpoint in the list.
struct EndpointListing
{
  std::string mName;
  std::string mAddress; ///< IP address and port.
  std::string mFailureDomain;
  std::string mService; ///< Name of the plain service; empty for an engine.
  std::vector<LoadedVersion> mLoaded;
  bool mLeaving = false;       ///< Draining: accepts no new requests.
  bool mChecksFencing = false; ///< The engine rejects old fencing numbers.

  auto operator<=>(const EndpointListing&) const = default;
};

/// Fetches the list once; blocks up to the timeout.
ErrorOr<std::vector<EndpointListing>> FetchEndpointList(
  const std::string& aAddress,
  Duration aTimeout);

} // namespace Acaciavale
