#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <cstdint>
#include <string>
#include <vector>

/// Settings as they are stored and sent between VMs: the files as the operator
/// applied them, and a root with their generation, digest, author, reason and
/// time.
namespace Acaciavale {

/// The root record of a generation. Its chain digest covers all its other
/// fields, among them the chain digest of the previous generation, so that any
/// alteration of a past generation is detected.
struct SettingsRoot
{
  std::int64_t mGeneration = 0; ///< 0 if no settings have been applied yet.
  std::string mDigest;          ///< SHA-256 of the body, hexadecimal.
  std::int64_t mChunkCount = 0; ///< Number of store records that hold the body.
  std::string mAuthor;
  std::string mReason;
  UnixMilliseconds mAppliedAt{};
  std::string mPreviousChainDigest;
  std::string mChainDigest;
  std::string mNonce; ///< Identifies this write if its response is lost.

  auto operator<=>(const SettingsRoot&) const = default;
};

/// A generation: its root and its files.
struct StoredSettings
{
  SettingsRoot mRoot;
  std::vector<SettingsFile> mFiles;

  auto operator<=>(const StoredSettings&) const = default;
};

/// Serialises the files into the body, which the root's digest covers.
std::string SerialiseFiles(const std::vector<SettingsFile>& aFiles);
ErrorOr<std::vector<SettingsFile>> ParseFiles(const std::string& aText);

std::string SerialiseRoot(const SettingsRoot& aRoot);
ErrorOr<SettingsRoot> ParseRoot(const std::string& aText);

std::string ComputeFilesDigest(const std::vector<SettingsFile>& aFiles);
/// Computes the chain digest from the other fields of the root.
std::string ComputeChainDigest(const SettingsRoot& aRoot);

/// Serialises root and files into one text, as VMs send it to each other.
std::string SerialiseRecord(const StoredSettings& aSettings);
/// Parses a record and checks both digests; fails with Invalid if one does not
/// match.
ErrorOr<StoredSettings> ParseRecord(const std::string& aText);

/// Checks both digests of a record; fails with Invalid if one does not match.
ErrorOr<void> CheckRecord(const StoredSettings& aSettings);

} // namespace Acaciavale
