#include <Acaciavale/LibSettings/SettingsFiles.h>

#include "IniScan.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace Acaciavale {

namespace {

/// Reads one file up to one byte beyond the maximum size, enough to report it
/// as too large.
bool ReadFile(const std::string& aPath, std::string& aText)
{
  std::error_code error;
  if (!std::filesystem::is_regular_file(aPath, error)) {
    return false;
  }
  std::ifstream stream(aPath, std::ios::binary);
  aText.resize(kMaxSettingsFileBytes + 1);
  stream.read(aText.data(), static_cast<std::streamsize>(aText.size()));
  aText.resize(static_cast<std::size_t>(stream.gcount()));
  return !stream.bad();
}

struct LoadState
{
  LoadedSettingsFiles mResult;
  std::set<std::string> mSeen;
};

void Load(LoadState& aState, const std::string& aName, bool aIsIncluded)
{
  if (!aState.mSeen.insert(aName).second) {
    return;
  }
  SettingsFile file{ aName, "" };
  if (!ReadFile(aName, file.mText)) {
    // NOTE: The tree builder reports a missing included file, with the place of
    //       the line that includes it.
    if (!aIsIncluded) {
      aState.mResult.mFindings.push_back(
        { { aName, 0 }, "the file cannot be read" });
    }
    return;
  }
  const IniScan scan = ScanIni(file);
  aState.mResult.mFiles.push_back(std::move(file));
  if (scan.mSections.empty()) {
    return;
  }
  for (const IniEntry& entry : scan.mSections.front().mEntries) {
    const bool isRelative = !entry.mValue.empty() && entry.mValue[0] != '/';
    if (entry.mKey == "include" && isRelative) {
      Load(aState, IncludedFileName(aName, entry.mValue), true);
    }
  }
}

} // namespace

std::string IncludedFileName(const std::string& aIncludingFile,
                             const std::string& aTarget)
{
  const std::filesystem::path directory =
    std::filesystem::path(aIncludingFile).parent_path();
  return (directory / aTarget).lexically_normal().string();
}

LoadedSettingsFiles LoadSettingsFiles(const std::vector<std::string>& aPaths)
{
  LoadState state;
  for (const std::string& path : aPaths) {
    Load(state, std::filesystem::path(path).lexically_normal().string(), false);
  }
  return std::move(state.mResult);
}

} // namespace Acaciavale
