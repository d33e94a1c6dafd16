#include "CommandOptions.h"
#include "SettingsChange.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <charconv>
#include <cstdio>
#include <filesystem>

namespace Acaciavale {

namespace {

constexpr const char* kUsage =
  "settings apply FILE… --store IP:PORT --seen N --author NAME\n"
  "       --reason TEXT [OPTION…]";

/// Names the files relative to the folder of the first file, so that the stored
/// names do not depend on the operator's working directory.
std::vector<SettingsFile> WithRelativeNames(std::vector<SettingsFile> aFiles)
{
  namespace fs = std::filesystem;
  const fs::path folder = fs::path(aFiles.front().mName).parent_path();
  std::vector<SettingsFile> files = aFiles;
  for (SettingsFile& file : files) {
    const fs::path name = folder.empty()
                            ? fs::path(file.mName)
                            : fs::path(file.mName).lexically_relative(folder);
    if (name.empty() || *name.begin() == "..") {
      return aFiles;
    }
    file.mName = name.string();
  }
  return files;
}

std::optional<std::int64_t> ParseBaseGeneration(const ParsedOptions& aOptions)
{
  const std::string text = aOptions.Value("seen");
  std::int64_t generation = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, generation);
  const bool isNumber = !text.empty() && result.ptr == end && generation >= 0;
  return isNumber && result.ec == std::errc() ? std::optional(generation)
                                              : std::nullopt;
}

/// Fetches the settings that the files were edited from; empty for generation
/// 0.
ErrorOr<StoredSettings> FetchBaseSettings(const KeyValueStore& aStore,
                                          std::int64_t aGeneration)
{
  return aGeneration == 0 ? ErrorOr<StoredSettings>(StoredSettings{})
                          : FetchGeneration(aStore, aGeneration);
}

} // namespace

int SettingsApply(const std::vector<std::string>& aArguments)
{
  std::vector<OptionSpec> specs = EditOptions();
  specs.push_back({ "seen",
                    "N",
                    "The generation that the files were edited from, as `diff` "
                    "prints it; 0 if the store has no settings yet." });
  const auto options = ParseOptions("settings apply", aArguments, specs);
  const auto generation =
    options ? ParseBaseGeneration(*options) : std::nullopt;
  if (!generation || options->mOperands.empty() || !options->Has("store")) {
    return ReportUsage(kUsage, specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  const auto files = LoadCheckedFiles(options->mOperands);
  if (!files) {
    return kExitFindings;
  }
  const auto client = MakeCommandClient(options->Value("store"));
  const auto before = FetchBaseSettings(client->Store(), *generation);
  if (!before) {
    return ReportError("settings apply", before.error());
  }
  return ApplyChange(client->Store(),
                     { "settings apply",
                       *before,
                       WithRelativeNames(*files),
                       options->Value("author"),
                       options->Value("reason"),
                       *json,
                       options->Has("dry-run") });
}

} // namespace Acaciavale
