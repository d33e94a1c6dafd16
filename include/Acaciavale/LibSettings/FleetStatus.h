#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstdint>
#include <string>
#include <vector>

/// The settings generation that each VM has in force.
namespace Acaciavale {

/// A VM's settings generation and state, from its membership record.
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
  std::int64_t mGeneration = 0;       ///< Generation in force in the store.
  std::vector<VmSettingsStatus> mVms; ///< All registered VMs, ordered by name.

  auto operator<=>(const FleetStatus&) const = default;
};

/// Reads the settings root and the VM records. Takes one read and one list
/// operation of the store.
ErrorOr<FleetStatus> FetchFleetStatus(const KeyValueStore& aStore);

/// Returns the names of the VMs whose generation is older than the store's.
std::vector<std::string> OutdatedVms(const FleetStatus& aStatus);

std::string StatusText(const FleetStatus& aStatus);
std::string StatusJson(const FleetStatus& aStatus);

} // namespace Acaciavale
