#include <Acaciavale/LibSettings/SettingsStore.h>

#include "Text.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Acaciavale {

namespace {

/// Maximum size of a body chunk, below the store's limit of a megabyte per
/// record.
constexpr std::size_t kChunkBytes = 900'000;
constexpr std::int64_t kGenerationsPerBlock = 1000;
/// Maximum number of attempts at a write that fails or whose response is lost.
constexpr int kMaxAttempts = 4;

std::string PadNumber(std::int64_t aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(
    text.data(), text.size(), "%012lld", static_cast<long long>(aNumber));
  return text.data();
}

std::string BlockPrefix(std::int64_t aBlock)
{
  return "settings/history/" + PadNumber(aBlock) + "/";
}

std::string HistoryKey(std::int64_t aGeneration)
{
  return BlockPrefix(aGeneration / kGenerationsPerBlock) +
         PadNumber(aGeneration);
}

std::string BodyKey(const std::string& aDigest, std::int64_t aChunk)
{
  return "settings/body/" + aDigest + "/" + std::to_string(aChunk);
}

/// The stored root, and the revision that a compare-and-swap must expect.
/// Generation and revision are 0 if there is no root yet.
struct RootEntry
{
  SettingsRoot mRoot;
  std::string mText;
  std::int64_t mRevision = 0;
};

ErrorOr<RootEntry> ReadRoot(const KeyValueStore& aStore)
{
  const auto entry = ACACIAVALE_TRY(aStore.mRead(kSettingsRootKey));
  if (!entry) {
    return RootEntry{};
  }
  SettingsRoot root = ACACIAVALE_TRY(ParseRoot(entry->mValue));
  return RootEntry{ std::move(root), entry->mValue, entry->mRevision };
}

/// Creates an immutable record. An existing record with the same value counts
/// as created, since the key determines the value.
ErrorOr<void> CreateImmutable(const KeyValueStore& aStore,
                              const std::string& aKey,
                              const std::string& aValue)
{
  Error last;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto written = aStore.mCompareAndSwap({ aKey, aValue, 0, 0 });
    if (written) {
      return {};
    }
    last = written.error();
    if (last.mCode != ErrorCode::Conflict) {
      continue;
    }
    const auto existing = ACACIAVALE_TRY(aStore.mRead(aKey));
    if (existing && existing->mValue == aValue) {
      return {};
    }
    return MakeError(ErrorCode::Internal,
                     "The immutable record " + aKey +
                       " has another value in the store.");
  }
  // NOTE: An immutable record has no effect until the root refers to it. The
  //       error is therefore Unavailable even if the record may have been
  //       written.
  return MakeError(ErrorCode::Unavailable, last.mMessage);
}

ErrorOr<void> WriteBody(const KeyValueStore& aStore,
                        const SettingsRoot& aRoot,
                        const std::string& aBody)
{
  for (std::int64_t chunk = 0; chunk < aRoot.mChunkCount; ++chunk) {
    const auto start = static_cast<std::size_t>(chunk) * kChunkBytes;
    auto written = CreateImmutable(
      aStore, BodyKey(aRoot.mDigest, chunk), aBody.substr(start, kChunkBytes));
    if (!written) {
      return written;
    }
  }
  return {};
}

/// The outcome of a root write whose response was lost.
enum class RootWriteOutcome
{
  InForce,    ///< The root is in force, or was until it was superseded.
  Superseded, ///< Another generation was applied instead.
  NotWritten, ///< The stored root has not changed.
};

ErrorOr<RootWriteOutcome> FindRootWriteOutcome(const KeyValueStore& aStore,
                                               const SettingsRoot& aRoot,
                                               std::int64_t aRevisionBefore)
{
  const RootEntry current = ACACIAVALE_TRY(ReadRoot(aStore));
  if (current.mRoot.mNonce == aRoot.mNonce) {
    return RootWriteOutcome::InForce;
  }
  if (current.mRevision == aRevisionBefore) {
    return RootWriteOutcome::NotWritten;
  }
  // NOTE: Another writer may have superseded this root already. Such a writer
  //       copies this root into the history first, so the history shows whether
  //       it was in force.
  const auto historyEntry =
    ACACIAVALE_TRY(aStore.mRead(HistoryKey(aRoot.mGeneration)));
  return historyEntry && historyEntry->mValue == SerialiseRoot(aRoot)
           ? RootWriteOutcome::InForce
           : RootWriteOutcome::Superseded;
}

ErrorOr<void> ReplaceRoot(const KeyValueStore& aStore,
                          const SettingsRoot& aRoot,
                          std::int64_t aRevision)
{
  const CompareAndSwap write{
    kSettingsRootKey, SerialiseRoot(aRoot), aRevision, 0
  };
  bool mayHaveWritten = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto written = aStore.mCompareAndSwap(write);
    if (written) {
      return {};
    }
    if (written.error().mCode == ErrorCode::Unavailable) {
      continue;
    }
    mayHaveWritten =
      mayHaveWritten || written.error().mCode == ErrorCode::OutcomeUnknown;
    const auto outcome = FindRootWriteOutcome(aStore, aRoot, aRevision);
    if (outcome && *outcome == RootWriteOutcome::InForce) {
      return {};
    }
    if (outcome && *outcome == RootWriteOutcome::Superseded) {
      return MakeError(ErrorCode::Conflict,
                       "Another generation was applied first.");
    }
    // NOTE: Repeating the write is safe. It names the revision that it expects,
    //       so at most one copy takes effect, even if the first arrives late.
  }
  if (mayHaveWritten) {
    return MakeError(ErrorCode::OutcomeUnknown,
                     "The store did not confirm whether the settings were "
                     "applied; check the history before trying again.");
  }
  return MakeError(ErrorCode::Unavailable, "The store cannot be reached.");
}

SettingsRoot MakeRoot(const ApplyRequest& aRequest,
                      const SettingsRoot& aBefore,
                      const std::string& aBody)
{
  SettingsRoot root;
  root.mGeneration = aBefore.mGeneration + 1;
  root.mDigest = ComputeFilesDigest(aRequest.mFiles);
  root.mChunkCount =
    static_cast<std::int64_t>((aBody.size() + kChunkBytes - 1) / kChunkBytes);
  root.mAuthor = aRequest.mAuthor;
  root.mReason = aRequest.mReason;
  root.mAppliedAt = aRequest.mNow;
  root.mPreviousChainDigest = aBefore.mChainDigest;
  root.mNonce = aRequest.mNonce;
  root.mChainDigest = ComputeChainDigest(root);
  return root;
}

ErrorOr<void> CheckRequest(const ApplyRequest& aRequest)
{
  for (const std::string& text : { aRequest.mAuthor, aRequest.mReason }) {
    const bool isOneLine = !HasControlCharacter(text) &&
                           text.find_first_of("\r\n") == std::string::npos;
    if (Trimmed(text).empty() || ValidUtf8Length(text) != text.size() ||
        !isOneLine) {
      return MakeError(ErrorCode::Invalid,
                       "Author and reason must be stated, each as one line of "
                       "UTF-8.");
    }
  }
  const SettingsResult result = ParseSettings(aRequest.mFiles);
  if (!result.mFindings.empty()) {
    return MakeError(
      ErrorCode::Invalid,
      "The settings files have " + std::to_string(result.mFindings.size()) +
        " findings; the first is " + Describe(result.mFindings.front()));
  }
  return {};
}

void AddRootsOfBlock(const std::vector<KeyValueEntry>& aEntries,
                     std::int64_t aFirst,
                     std::int64_t aEnd,
                     std::vector<SettingsRoot>& aRoots)
{
  for (const KeyValueEntry& entry : aEntries) {
    // NOTE: A record that cannot be parsed becomes an empty root, which
    //       VerifyHistory reports as altered.
    const auto root = ParseRoot(entry.mValue).value_or(SettingsRoot{});
    if (root.mGeneration == 0 ||
        (root.mGeneration >= aFirst && root.mGeneration < aEnd)) {
      aRoots.push_back(root);
    }
  }
}

} // namespace

ErrorOr<SettingsRoot> FetchRoot(const KeyValueStore& aStore)
{
  RootEntry entry = ACACIAVALE_TRY(ReadRoot(aStore));
  if (entry.mRevision == 0) {
    return MakeError(ErrorCode::NotFound, "No settings were applied yet.");
  }
  return std::move(entry.mRoot);
}

ErrorOr<StoredSettings> FetchBody(const KeyValueStore& aStore,
                                  const SettingsRoot& aRoot)
{
  std::string body;
  for (std::int64_t chunk = 0; chunk < aRoot.mChunkCount; ++chunk) {
    const auto chunkEntry =
      ACACIAVALE_TRY(aStore.mRead(BodyKey(aRoot.mDigest, chunk)));
    if (!chunkEntry) {
      return MakeError(
        ErrorCode::NotFound,
        "A chunk of the settings body is missing from the store.");
    }
    body += chunkEntry->mValue;
  }
  StoredSettings settings{ aRoot, ACACIAVALE_TRY(ParseFiles(body)) };
  const auto checked = CheckRecord(settings);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  return settings;
}

ErrorOr<StoredSettings> FetchLatest(const KeyValueStore& aStore)
{
  const SettingsRoot root = ACACIAVALE_TRY(FetchRoot(aStore));
  return FetchBody(aStore, root);
}

ErrorOr<StoredSettings> FetchGeneration(const KeyValueStore& aStore,
                                        std::int64_t aGeneration)
{
  const SettingsRoot root = ACACIAVALE_TRY(FetchRoot(aStore));
  if (root.mGeneration == aGeneration) {
    return FetchBody(aStore, root);
  }
  const auto historyEntry =
    ACACIAVALE_TRY(aStore.mRead(HistoryKey(aGeneration)));
  if (!historyEntry) {
    return MakeError(ErrorCode::NotFound,
                     "There is no generation " + std::to_string(aGeneration) +
                       "; " + std::to_string(root.mGeneration) +
                       " is in force.");
  }
  const SettingsRoot historyRoot =
    ACACIAVALE_TRY(ParseRoot(historyEntry->mValue));
  return FetchBody(aStore, historyRoot);
}

ErrorOr<std::vector<SettingsRoot>> FetchHistory(const KeyValueStore& aStore,
                                                std::int64_t aFirst)
{
  const SettingsRoot latest = ACACIAVALE_TRY(FetchRoot(aStore));
  std::vector<SettingsRoot> roots;
  const std::int64_t lastBlock = latest.mGeneration / kGenerationsPerBlock;
  for (std::int64_t block = aFirst / kGenerationsPerBlock; block <= lastBlock;
       ++block) {
    const auto entries = ACACIAVALE_TRY(aStore.mList(BlockPrefix(block)));
    AddRootsOfBlock(entries, aFirst, latest.mGeneration, roots);
  }
  roots.push_back(latest);
  return roots;
}

std::vector<std::string> VerifyHistory(
  const std::vector<SettingsRoot>& aHistory)
{
  std::vector<std::string> problems;
  std::int64_t expectedGeneration = 1;
  std::string previousChainDigest;
  for (const SettingsRoot& root : aHistory) {
    const std::string name = "generation " + std::to_string(root.mGeneration);
    if (root.mGeneration != expectedGeneration) {
      problems.push_back("generation " + std::to_string(expectedGeneration) +
                         " is missing or cannot be read");
    }
    if (ComputeChainDigest(root) != root.mChainDigest) {
      problems.push_back(name + " was altered: its chain digest differs");
    }
    if (root.mPreviousChainDigest != previousChainDigest) {
      problems.push_back(
        name + " does not continue the chain of the generation before it");
    }
    previousChainDigest = root.mChainDigest;
    expectedGeneration = root.mGeneration + 1;
  }
  return problems;
}

ErrorOr<SettingsRoot> ApplySettings(const KeyValueStore& aStore,
                                    const ApplyRequest& aRequest)
{
  const auto checked = CheckRequest(aRequest);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  const RootEntry before = ACACIAVALE_TRY(ReadRoot(aStore));
  if (before.mRoot.mGeneration != aRequest.mBaseGeneration) {
    return MakeError(ErrorCode::Conflict,
                     "Generation " + std::to_string(before.mRoot.mGeneration) +
                       " is in force, not " +
                       std::to_string(aRequest.mBaseGeneration) + ".");
  }
  const std::string body = SerialiseFiles(aRequest.mFiles);
  const SettingsRoot root = MakeRoot(aRequest, before.mRoot, body);
  const auto written = WriteBody(aStore, root, body);
  if (!written) {
    return tl::make_unexpected(written.error());
  }
  if (before.mRevision != 0) {
    const auto archived = CreateImmutable(
      aStore, HistoryKey(before.mRoot.mGeneration), before.mText);
    if (!archived) {
      return tl::make_unexpected(archived.error());
    }
  }
  const auto replaced = ReplaceRoot(aStore, root, before.mRevision);
  if (!replaced) {
    return tl::make_unexpected(replaced.error());
  }
  return root;
}

} // namespace Acaciavale
