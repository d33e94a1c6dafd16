#include <Acaciavale/LibSettings/SettingsRecord.h>

#include "Digest.h"

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

Json FilesToJson(const std::vector<SettingsFile>& aFiles)
{
  Json files = Json::array();
  for (const SettingsFile& file : aFiles) {
    files.push_back({ { "name", file.mName }, { "text", file.mText } });
  }
  return files;
}

std::vector<SettingsFile> FilesFromJson(const Json& aJson)
{
  std::vector<SettingsFile> files;
  for (const Json& file : aJson) {
    files.push_back({ file.at("name"), file.at("text") });
  }
  return files;
}

Json RootToJson(const SettingsRoot& aRoot)
{
  return { { "generation", aRoot.mGeneration },
           { "digest", aRoot.mDigest },
           { "chunks", aRoot.mChunkCount },
           { "author", aRoot.mAuthor },
           { "reason", aRoot.mReason },
           { "time_ms", aRoot.mAppliedAt.count() },
           { "previous_chain", aRoot.mPreviousChainDigest },
           { "chain", aRoot.mChainDigest },
           { "nonce", aRoot.mNonce } };
}

SettingsRoot RootFromJson(const Json& aJson)
{
  SettingsRoot root;
  root.mGeneration = aJson.at("generation").get<std::int64_t>();
  root.mDigest = aJson.at("digest").get<std::string>();
  root.mChunkCount = aJson.at("chunks").get<std::int64_t>();
  root.mAuthor = aJson.at("author").get<std::string>();
  root.mReason = aJson.at("reason").get<std::string>();
  root.mAppliedAt = UnixMilliseconds(aJson.at("time_ms").get<std::int64_t>());
  root.mPreviousChainDigest = aJson.at("previous_chain").get<std::string>();
  root.mChainDigest = aJson.at("chain").get<std::string>();
  root.mNonce = aJson.at("nonce").get<std::string>();
  return root;
}

/// Parses JSON and converts it; returns an error if either throws.
template<typename Convert>
auto ParseJson(const char* aDocument,
               const std::string& aText,
               Convert aConvert) -> ErrorOr<decltype(aConvert(Json()))>
{
  try {
    return aConvert(Json::parse(aText));
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::Invalid,
                     std::string("The ") + aDocument + " cannot be parsed.");
  }
}

} // namespace

std::string SerialiseFiles(const std::vector<SettingsFile>& aFiles)
{
  return FilesToJson(aFiles).dump();
}

ErrorOr<std::vector<SettingsFile>> ParseFiles(const std::string& aText)
{
  return ParseJson("settings body", aText, FilesFromJson);
}

std::string SerialiseRoot(const SettingsRoot& aRoot)
{
  return RootToJson(aRoot).dump();
}

ErrorOr<SettingsRoot> ParseRoot(const std::string& aText)
{
  return ParseJson("settings root", aText, RootFromJson);
}

std::string ComputeFilesDigest(const std::vector<SettingsFile>& aFiles)
{
  return Sha256(SerialiseFiles(aFiles));
}

std::string ComputeChainDigest(const SettingsRoot& aRoot)
{
  SettingsRoot root = aRoot;
  root.mChainDigest.clear();
  return Sha256(SerialiseRoot(root));
}

std::string SerialiseRecord(const StoredSettings& aSettings)
{
  const Json record{ { "root", RootToJson(aSettings.mRoot) },
                     { "files", FilesToJson(aSettings.mFiles) } };
  return record.dump();
}

ErrorOr<void> CheckRecord(const StoredSettings& aSettings)
{
  if (ComputeFilesDigest(aSettings.mFiles) != aSettings.mRoot.mDigest) {
    return MakeError(ErrorCode::Invalid,
                     "The settings files do not match the digest in the root.");
  }
  if (ComputeChainDigest(aSettings.mRoot) != aSettings.mRoot.mChainDigest) {
    return MakeError(ErrorCode::Invalid,
                     "The settings root does not match its chain digest.");
  }
  return {};
}

ErrorOr<StoredSettings> ParseRecord(const std::string& aText)
{
  const auto convert = [](const Json& aJson) {
    return StoredSettings{ RootFromJson(aJson.at("root")),
                           FilesFromJson(aJson.at("files")) };
  };
  auto record = ACACIAVALE_TRY(ParseJson("settings record", aText, convert));
  const auto checked = CheckRecord(record);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  return record;
}

} // namespace Acaciavale
