#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>

#include <cstdint>
#include <string>
#include <vector>

/// Settings in the platform's key-value service.
///
/// settings/root                       the root in force, changed by CAS only
/// settings/body/DIGEST/N              immutable chunks of a body
/// settings/history/BLOCK/GENERATION   each past root, as it was in force
///
/// A writer copies the current root into the history before it replaces it, so
/// the history holds every generation below the one in force.
namespace Acaciavale {

constexpr const char* kSettingsRootKey = "settings/root";

/// Returns the root in force; NotFound if no settings were ever applied. Takes
/// one read.
ErrorOr<SettingsRoot> FetchRoot(const KeyValueStore& aStore);

/// Returns the root with its files, checked against both digests. Takes one
/// read per chunk of the body.
ErrorOr<StoredSettings> FetchBody(const KeyValueStore& aStore,
                                  const SettingsRoot& aRoot);

/// Returns the generation in force, checked against its digests.
ErrorOr<StoredSettings> FetchLatest(const KeyValueStore& aStore);

/// Returns a generation by its number; NotFound if there is none.
ErrorOr<StoredSettings> FetchGeneration(const KeyValueStore& aStore,
                                        std::int64_t aGeneration);

/// Returns the roots from generation aFirst up to the one in force, oldest
/// first.
ErrorOr<std::vector<SettingsRoot>> FetchHistory(const KeyValueStore& aStore,
                                                std::int64_t aFirst = 1);

/// Returns the problems of a history: missing generations, altered roots and
/// roots whose previous chain digest does not match. The history must start at
/// generation 1.
std::vector<std::string> VerifyHistory(
  const std::vector<SettingsRoot>& aHistory);

/// The files that an operator applies, and why.
struct ApplyRequest
{
  std::vector<SettingsFile> mFiles;
  std::string mAuthor;
  std::string mReason;
  /// The generation that the files were edited from.
  std::int64_t mBaseGeneration = 0;
  UnixMilliseconds mNow{};
  std::string mNonce;

  auto operator<=>(const ApplyRequest&) const = default;
};

/// Replaces the base generation by the files of the request. Fails with Invalid
/// if author, reason or files are invalid. Fails with Conflict if another
/// generation than the base is in force; the settings in force are then
/// unchanged. Fails with OutcomeUnknown only if a response was lost and the
/// store cannot be read after it.
ErrorOr<SettingsRoot> ApplySettings(const KeyValueStore& aStore,
                                    const ApplyRequest& aRequest);

} // namespace Acaciavale
