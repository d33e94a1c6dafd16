#include <Acaciavale/LibSettings/SettingsFiles.h>

#include "IniScan.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

namespace Acaciavale {

namespace {

/// Reads one file, but no more than a little past the size that is allowed.
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

struct Loading
{
  FilesLoading mResult;
  std::set<std::string> mSeen;
};

void Load(Loading& aLoading, const std::string& aName, bool aIsIncluded)
{
  if (!aLoading.mSeen.insert(aName).second) {
    return;
  }
  SettingsFile file{ aName, "" };
  if (!ReadFile(aName, file.mText)) {
    // NOTE: An included file that is not there is found by the reader, with
    //       the place of the line that includes it.
    if (!aIsIncluded) {
      aLoading.mResult.mFindings.push_back(
        { { aName, 0 }, "the file cannot be read" });
    }
    return;
  }
  const IniScan scan = ScanIni(file);
  aLoading.mResult.mFiles.push_back(std::move(file));
  if (scan.mSections.empty()) {
    return;
  }
  for (const IniEntry& entry : scan.mSections.front().mEntries) {
    const bool isRelative = !entry.mValue.empty() && entry.mValue[0] != '/';
    if (entry.mKey == "include" && isRelative) {
      Load(aLoading, IncludedName(aName, entry.mValue), true);
    }
  }
}

} // namespace

std::string IncludedName(const std::string& aFrom, const std::string& aTarget)
{
  const std::filesystem::path folder =
    std::filesystem::path(aFrom).parent_path();
  return (folder / aTarget).lexically_normal().string();
}

FilesLoading LoadSettingsFiles(const std::vector<std::string>& aPaths)
{
  Loading loading;
  for (const std::string& path : aPaths) {
    Load(
      loading, std::filesystem::path(path).lexically_normal().string(), false);
  }
  return std::move(loading.mResult);
}

} // namespace Acaciavale
