#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace Acaciavale {

namespace {

namespace fs = std::filesystem;

/// Whether a stored file name refers to a path inside the target folder.
bool StaysInFolder(const std::string& aName)
{
  const fs::path path = fs::path(aName).lexically_normal();
  return !path.empty() && path.is_relative() && *path.begin() != "..";
}

bool WriteFile(const fs::path& aPath, const std::string& aText)
{
  std::error_code error;
  fs::create_directories(aPath.parent_path(), error);
  std::ofstream stream(aPath, std::ios::binary | std::ios::trunc);
  // NOTE: The files contain secrets, so only their owner may read them.
  fs::permissions(aPath, fs::perms::owner_read | fs::perms::owner_write, error);
  stream << aText;
  stream.close();
  return stream.good() && !error;
}

} // namespace

int SettingsExport(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ StoreOption(), GenerationOption() };
  const auto options = ParseOptions("settings export", aArguments, specs);
  if (!options || options->mOperands.size() != 1 || !options->Has("store")) {
    return ReportUsage("settings export DIRECTORY --store IP:PORT [OPTION…]",
                       specs);
  }
  int exitCode = kExitDone;
  const auto source = LoadSource("settings export", *options, {}, exitCode);
  if (!source) {
    return exitCode;
  }
  for (const SettingsFile& file : source->mFiles) {
    const fs::path path = fs::path(options->mOperands[0]) / file.mName;
    if (!StaysInFolder(file.mName) || !WriteFile(path, file.mText)) {
      std::fprintf(stderr,
                   "acaciavale settings export: %s cannot be written\n",
                   path.c_str());
      return kExitFindings;
    }
    std::printf("%s\n", path.c_str());
  }
  std::printf("generation %lld\n",
              static_cast<long long>(source->mRoot.mGeneration));
  return kExitDone;
}

} // namespace Acaciavale
