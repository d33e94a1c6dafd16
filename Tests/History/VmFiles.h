#pragma once

#include <map>
#include <string>
#include <vector>

/// The files in which processes announce their addresses. They are read anew
/// each time, as a VM that is replaced has other addresses.
namespace Acaciavale::History {

/// The lines "name=value"; empty where the file isn't there.
std::map<std::string, std::string> ReadAnnouncement(const std::string& aFile);

/// A VM by its announce file.
struct VmAddresses
{
  std::string mName; ///< The file's own name.
  std::string mCallersAddress;
  std::string mOperatorsAddress;
};

/// Empty addresses where the VM isn't there.
VmAddresses ReadVmAddresses(const std::string& aFile);

} // namespace Acaciavale::History
