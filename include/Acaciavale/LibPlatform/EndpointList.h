#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <string>
#include <vector>

/// The platform's lagging list of live and leaving VMs that carry endpoints.
namespace Acaciavale {

/// "model/version" that an engine has loaded.
struct LoadedVersion
{
  std::string mModel;
  std::string mVersion;

  auto operator<=>(const LoadedVersion&) const = default;
};

/// One endpoint as the list describes it.
struct EndpointListing
{
  std::string mName;
  std::string mAddress; ///< IP number and port.
  std::string mFailureDomain;
  std::string mService; ///< Name of the plain service; empty for an engine.
  std::vector<LoadedVersion> mLoaded;
  bool mLeaving = false;
  bool mChecksFencing = false;

  auto operator<=>(const EndpointListing&) const = default;
};

/// Asks the list once; blocks up to the deadline.
ErrorOr<std::vector<EndpointListing>> FetchEndpointList(
  const std::string& aAddress,
  Duration aTimeout);

} // namespace Acaciavale
