#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstdint>
#include <string>
#include <vector>

/// Which generation of the settings each VM has in force.
namespace Acaciavale {

/// What a VM's membership record says of its settings.
struct VmSettingsStatus
{
  std::string mName;
  std::string mFailureDomain;
  std::int64_t mGeneration = 0;
  bool mDraining = false;

  auto operator<=>(const VmSettingsStatus&) const = default;
};

struct FleetStatus
{
  std::int64_t mGeneration = 0;       ///< In force in the store.
  std::vector<VmSettingsStatus> mVms; ///< Ordered by name.

  auto operator<=>(const FleetStatus&) const = default;
};

/// Reads the root and the VMs' records; one read and one list.
ErrorOr<FleetStatus> FetchFleetStatus(const KeyValueStore& aStore);

/// The names of the VMs that have an older generation.
std::vector<std::string> OutdatedVms(const FleetStatus& aStatus);

std::string StatusText(const FleetStatus& aStatus);
std::string StatusJson(const FleetStatus& aStatus);

} // namespace Acaciavale
