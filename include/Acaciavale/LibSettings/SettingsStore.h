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
/// settings/body/DIGEST/N              immutable parts of a body
/// settings/history/BLOCK/GENERATION   each root, as it was in force
///
/// A writer stores the root that it supersedes in the history before it moves
/// the root, so the history holds every generation below the one in force.
namespace Acaciavale {

constexpr const char* kSettingsRootKey = "settings/root";

/// The root in force; NotFound where none was ever applied. One read.
ErrorOr<SettingsRoot> FetchRoot(const KeyValueStore& aStore);

/// The files of a root. One read for each part of the body.
ErrorOr<StoredSettings> FetchBody(const KeyValueStore& aStore,
                                  const SettingsRoot& aRoot);

/// The generation in force, checked against its digests.
ErrorOr<StoredSettings> FetchLatest(const KeyValueStore& aStore);

/// One generation by its number.
ErrorOr<StoredSettings> FetchGeneration(const KeyValueStore& aStore,
                                        std::int64_t aGeneration);

/// The roots from a generation on, oldest first, up to the one in force.
ErrorOr<std::vector<SettingsRoot>> FetchHistory(const KeyValueStore& aStore,
                                                std::int64_t aFirst = 1);

/// What is wrong with a history: a gap, a root that was altered, a chain that
/// does not lead on. The roots start at generation 1.
std::vector<std::string> VerifyHistory(
  const std::vector<SettingsRoot>& aHistory);

/// What an operator applies.
struct ApplyRequest
{
  std::vector<SettingsFile> mFiles;
  std::string mAuthor;
  std::string mReason;
  std::int64_t mBaseGeneration = 0; ///< The generation that it was edited from.
  UnixMilliseconds mNow{};
  std::string mNonce;

  auto operator<=>(const ApplyRequest&) const = default;
};

/// Puts the files in force in the place of the generation seen. Invalid where
/// they have findings; Conflict where another generation is in force, and then
/// nothing was changed; OutcomeUnknown only where the store cannot be read
/// after a lost answer.
ErrorOr<SettingsRoot> ApplySettings(const KeyValueStore& aStore,
                                    const ApplyRequest& aRequest);

} // namespace Acaciavale
