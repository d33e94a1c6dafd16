#include "VmFiles.h"

#include <filesystem>
#include <fstream>

namespace Acaciavale::History {

std::map<std::string, std::string> ReadAnnouncement(const std::string& aFile)
{
  std::map<std::string, std::string> values;
  std::ifstream in(aFile);
  for (std::string line; std::getline(in, line);) {
    const std::size_t equals = line.find('=');
    if (equals != std::string::npos) {
      values[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }
  return values;
}

VmAddresses ReadVmAddresses(const std::string& aFile)
{
  auto values = ReadAnnouncement(aFile);
  return { std::filesystem::path(aFile).filename().string(),
           values["callers"],
           values["operators"] };
}

} // namespace Acaciavale::History
