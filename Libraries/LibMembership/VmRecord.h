#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include <string>

/// The record `vms/<name>` in the key-value service, by which VMs discover each
/// other at the start.
namespace Acaciavale {

constexpr const char* kVmPrefix = "vms/";

std::string VmKey(const std::string& aName);

/// JSON object with the VM's state, the time and the writer's nonce.
std::string SerializeVmRecord(const VmState& aState,
                              UnixMilliseconds aTime,
                              const std::string& aNonce);
ErrorOr<VmState> ParseVmRecord(const std::string& aValue);

} // namespace Acaciavale
