#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <string>
#include <vector>

/// Loads the operators' files from disk, with those that they include.
namespace Acaciavale {

/// The largest file of settings that is read, in bytes.
constexpr std::size_t kMaxSettingsFileBytes = 1'000'000;

/// The files in the order of reading, and what could not be read.
struct LoadedSettingsFiles
{
  std::vector<SettingsFile> mFiles;
  Findings mFindings;
};

/// Reads the files and all that they include, each once. Names are as given on
/// the command line; those of included files are relative to the same folder.
LoadedSettingsFiles LoadSettingsFiles(const std::vector<std::string>& aPaths);

/// The name of an included file, from the name of the file that includes it.
std::string IncludedFileName(const std::string& aIncludingFile,
                             const std::string& aTarget);

} // namespace Acaciavale
