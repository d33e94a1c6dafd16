#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <string>
#include <vector>

/// Loads settings files from disk, together with the files that they include.
namespace Acaciavale {

/// Maximum size of a settings file, in bytes.
constexpr std::size_t kMaxSettingsFileBytes = 1'000'000;

/// The files in the order in which they were read, and findings for unreadable
/// files.
struct LoadedSettingsFiles
{
  std::vector<SettingsFile> mFiles;
  Findings mFindings;
};

/// Reads the files and all files that they include, each once. A file is named
/// by its path; the path of an included file is resolved against the directory
/// of the file that includes it.
LoadedSettingsFiles LoadSettingsFiles(const std::vector<std::string>& aPaths);

/// Returns the name of an included file: aTarget resolved against the directory
/// of the including file.
std::string IncludedFileName(const std::string& aIncludingFile,
                             const std::string& aTarget);

} // namespace Acaciavale
