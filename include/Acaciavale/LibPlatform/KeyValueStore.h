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

/// A key with its value and the store's revision at its last write. Each write
/// to the store increments the store's revision. Revision 0 means an absent
/// key.
struct KeyValueEntry
{
  std::string mKey;
  std::string mValue;
  std::int64_t mRevision = 0;

  auto operator<=>(const KeyValueEntry&) const = default;
};

/// A write that takes effect only if the key still has the expected revision.
struct CompareAndSwap
{
  std::string mKey;
  std::string mValue;
  std::int64_t mExpectedRevision = 0;
  std::int64_t mLease = 0; ///< Lease whose expiry removes the key; 0: none.

  auto operator<=>(const CompareAndSwap&) const = default;
};

/// The operations of a key-value service as a plain struct, so that tests can
/// pass fakes while the server passes the HTTP client. Each call blocks up to
/// the client's timeout. Errors of a write: Conflict (not written), Unavailable
/// (not written) and OutcomeUnknown (the response was lost).
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
  /// Waits up to aWait until an entry under the prefix has a revision above
  /// aAfterRevision. Returns the changed entries, or none on timeout.
  std::function<ErrorOr<std::vector<KeyValueEntry>>(const std::string& aPrefix,
                                                    std::int64_t aAfterRevision,
                                                    Duration aWait)>
    mWatch;
  std::function<ErrorOr<std::int64_t>(Duration aTimeToLive)> mGrantLease;
  std::function<ErrorOr<void>(std::int64_t aLease)> mKeepLease;
  std::function<ErrorOr<void>(std::int64_t aLease)> mRevokeLease;
};

/// Writes a record whose value includes a nonce of the writer. If the response
/// is lost, reads the record and compares the value to find out whether the
/// write took effect. Returns Conflict if another writer won, OutcomeUnknown
/// only if the outcome could not be determined by reading either.
ErrorOr<std::int64_t> WriteResolved(const KeyValueStore& aStore,
                                    const CompareAndSwap& aWrite);

} // namespace Acaciavale
