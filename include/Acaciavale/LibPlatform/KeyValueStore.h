#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The narrow interface to the platform's key-value service.
namespace Acaciavale {

/// A key with its value. Revisions rise with each write of the whole store;
/// revision 0 stands for an absent key.
struct KeyValueEntry
{
  std::string mKey;
  std::string mValue;
  std::int64_t mRevision = 0;

  auto operator<=>(const KeyValueEntry&) const = default;
};

/// One write. It takes effect only if the key still has the expected revision.
struct CompareAndSwap
{
  std::string mKey;
  std::string mValue;
  std::int64_t mExpectedRevision = 0;
  std::int64_t mLease = 0; ///< The key goes when this lease lapses; 0 is none.

  auto operator<=>(const CompareAndSwap&) const = default;
};

/// The operations of a key-value service as a plain struct, so that tests pass
/// fakes and the server passes the HTTP client. Each call blocks, up to the
/// client's deadline. Errors of a write: Conflict (not written), Unavailable
/// (not written) and OutcomeUnknown (the answer was lost).
struct KeyValueStore
{
  std::function<ErrorOr<std::optional<KeyValueEntry>>(const std::string& aKey)>
    mRead;
  /// All entries whose key starts with the prefix, ordered by key.
  std::function<ErrorOr<std::vector<KeyValueEntry>>(const std::string& aPrefix)>
    mList;
  /// Returns the new revision.
  std::function<ErrorOr<std::int64_t>(const CompareAndSwap& aWrite)>
    mCompareAndSwap;
  /// Removes a key that still has the expected revision.
  std::function<ErrorOr<void>(const std::string& aKey,
                              std::int64_t aExpectedRevision)>
    mRemove;
  /// Waits until an entry under the prefix has a revision above the given one,
  /// or the wait is over; returns the changed entries, none on a time-out.
  std::function<ErrorOr<std::vector<KeyValueEntry>>(const std::string& aPrefix,
                                                    std::int64_t aAfterRevision,
                                                    Duration aWait)>
    mWatch;
  std::function<ErrorOr<std::int64_t>(Duration aTimeToLive)> mGrantLease;
  std::function<ErrorOr<void>(std::int64_t aLease)> mKeepLease;
  std::function<ErrorOr<void>(std::int64_t aLease)> mRevokeLease;
};

/// Writes a record whose value carries the writer's nonce, and resolves a lost
/// answer by reading: the value that is read either is ours or is not.
/// Returns Conflict when another writer won, OutcomeUnknown only when the
/// reading failed as well.
ErrorOr<std::int64_t> WriteResolved(const KeyValueStore& aStore,
                                    const CompareAndSwap& aWrite);

} // namespace Acaciavale
