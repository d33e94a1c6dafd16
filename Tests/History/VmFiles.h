#pragma once

#include <map>
#include <string>
#include <vector>

/// Announce files, in which processes publish their addresses. They are read
/// again for each use, because a restarted VM has new addresses.
namespace Acaciavale::History {

/// Returns the "name=value" lines of the file; empty if it does not exist.
std::map<std::string, std::string> ReadAnnouncement(const std::string& aFile);

/// Name and addresses of a VM, from its announce file.
struct VmAddresses
{
  std::string mName; ///< Name of the announce file without its directory.
  std::string mCallersAddress;
  std::string mOperatorsAddress;
};

/// Returns empty addresses if the announce file does not exist.
VmAddresses ReadVmAddresses(const std::string& aFile);

} // namespace Acaciavale::History
