#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <cstdint>
#include <string>
#include <vector>

/// Settings as they are stored and passed among VMs: the files as the operator
/// applied them, under a root that says which, by whom, why and when.
namespace Acaciavale {

/// The root record. Its chain digest covers all its fields and the chain of
/// the generation before, so that no past generation can be altered unseen.
struct SettingsRoot
{
  std::int64_t mGeneration = 0; ///< 0 is: none applied yet.
  std::string mDigest;          ///< SHA-256 of the body, hexadecimal.
  std::int64_t mChunkCount = 0; ///< Records that the body is split into.
  std::string mAuthor;
  std::string mReason;
  UnixMilliseconds mAppliedAt{};
  std::string mPreviousChainDigest;
  std::string mChainDigest;
  std::string mNonce; ///< The writer's, to resolve a lost answer.

  auto operator<=>(const SettingsRoot&) const = default;
};

/// One generation in full.
struct StoredSettings
{
  SettingsRoot mRoot;
  std::vector<SettingsFile> mFiles;

  auto operator<=>(const StoredSettings&) const = default;
};

/// The body that the digest is of.
std::string SerialiseFiles(const std::vector<SettingsFile>& aFiles);
ErrorOr<std::vector<SettingsFile>> ParseFiles(const std::string& aText);

std::string SerialiseRoot(const SettingsRoot& aRoot);
ErrorOr<SettingsRoot> ParseRoot(const std::string& aText);

std::string ComputeFilesDigest(const std::vector<SettingsFile>& aFiles);
/// What the root's chain digest must be.
std::string ComputeChainDigest(const SettingsRoot& aRoot);

/// The whole record as one text, as VMs pass it to each other.
std::string SerialiseRecord(const StoredSettings& aSettings);
/// Reads a record and checks both digests; Invalid where one does not agree.
ErrorOr<StoredSettings> ParseRecord(const std::string& aText);

/// Checks both digests of a record.
ErrorOr<void> CheckRecord(const StoredSettings& aSettings);

} // namespace Acaciavale
