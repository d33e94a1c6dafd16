#include <Acaciavale/LibSettings/FleetStatus.h>

#include <Acaciavale/LibSettings/SettingsStore.h>

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr const char* kVmPrefix = "vms/";

/// Parses a VM's record. An invalid record still gives the VM's name, with
/// generation 0.
VmSettingsStatus ParseVm(const KeyValueEntry& aEntry)
{
  VmSettingsStatus vm;
  vm.mName = aEntry.mKey.substr(std::string(kVmPrefix).size());
  try {
    const Json record = Json::parse(aEntry.mValue);
    vm.mFailureDomain = record.value("failure_domain", "");
    vm.mGeneration = record.value("settings_generation", std::int64_t(0));
    vm.mDraining = record.value("draining", false);
  } catch (const Json::exception&) {
    vm.mGeneration = 0;
  }
  return vm;
}

} // namespace

ErrorOr<FleetStatus> FetchFleetStatus(const KeyValueStore& aStore)
{
  const SettingsRoot root = ACACIAVALE_TRY(FetchRoot(aStore));
  FleetStatus status{ root.mGeneration, {} };
  const auto entries = ACACIAVALE_TRY(aStore.mList(kVmPrefix));
  status.mVms.reserve(entries.size());
  for (const KeyValueEntry& entry : entries) {
    status.mVms.push_back(ParseVm(entry));
  }
  return status;
}

std::vector<std::string> OutdatedVms(const FleetStatus& aStatus)
{
  std::vector<std::string> names;
  for (const VmSettingsStatus& vm : aStatus.mVms) {
    if (vm.mGeneration < aStatus.mGeneration) {
      names.push_back(vm.mName);
    }
  }
  return names;
}

std::string StatusText(const FleetStatus& aStatus)
{
  std::string text;
  for (const VmSettingsStatus& vm : aStatus.mVms) {
    text += vm.mName + "  " + vm.mFailureDomain + "  generation " +
            std::to_string(vm.mGeneration) +
            (vm.mGeneration < aStatus.mGeneration ? "  behind" : "") +
            (vm.mDraining ? "  draining" : "") + "\n";
  }
  const std::size_t behind = OutdatedVms(aStatus).size();
  return text + std::to_string(aStatus.mVms.size() - behind) + " of " +
         std::to_string(aStatus.mVms.size()) + " VMs have generation " +
         std::to_string(aStatus.mGeneration) + "\n";
}

std::string StatusJson(const FleetStatus& aStatus)
{
  Json vms = Json::array();
  for (const VmSettingsStatus& vm : aStatus.mVms) {
    vms.push_back({ { "name", vm.mName },
                    { "failure_domain", vm.mFailureDomain },
                    { "generation", vm.mGeneration },
                    { "draining", vm.mDraining } });
  }
  const Json status{ { "generation", aStatus.mGeneration },
                     { "behind", OutdatedVms(aStatus) },
                     { "vms", vms } };
  return status.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace Acaciavale
