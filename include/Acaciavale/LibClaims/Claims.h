#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

/// Claims on idempotency keys, which ensure that a call that may not be
/// repeated runs at most once.
namespace Acaciavale {

/// Response of a call, stored for callers that repeat the request.
struct StoredResponse
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;

  auto operator<=>(const StoredResponse&) const = default;
};

enum class ClaimVerdict
{
  Granted,          ///< This request runs the call, and no other ever will.
  Done,             ///< The call has run; its response is stored.
  InProgress,       ///< Another request is running the call.
  Unknown,          ///< The call may have run; its outcome is not known.
  RequestDiffers,   ///< The key was used for a different request.
  StoreUnavailable, ///< The store is unavailable; the call has not run.
};

struct ClaimQuery
{
  std::string mAccount;
  std::string mKey; ///< Idempotency-Key of the request.
  std::string mRequestDigest;
  std::string mVm;
  UnixMilliseconds mNow{};
  Duration mRetention{};
  /// Time without an outcome after which a claim is reported as Unknown.
  Duration mRunTimeout{};
  /// Identifies this attempt: the request id. If empty, the claim is identified
  /// only by its VM and request digest.
  std::string mNonce{};
  /// Lease after whose expiry the store deletes the claim, or 0 for none. See
  /// ClaimLeases.
  std::int64_t mLease = 0;

  auto operator<=>(const ClaimQuery&) const = default;
};

struct ClaimResult
{
  ClaimVerdict mVerdict = ClaimVerdict::StoreUnavailable;
  StoredResponse mResponse; ///< Set for Done.
  /// Set with StoreUnavailable if the write may have taken effect after all.
  /// The key then stays blocked until the claim is released: pass the query to
  /// OrphanedClaims.
  bool mMayBeClaimed = false;

  auto operator<=>(const ClaimResult&) const = default;
};

/// Maximum size of a response body that is stored with a claim. A larger
/// response reaches its caller, but repeated requests get Unknown.
constexpr std::size_t kMaxStoredBodyBytes = 524'288;

/// Returns the key of the claim in the store.
std::string ClaimKey(const std::string& aAccount, const std::string& aKey);

/// Returns the digest that distinguishes a repeated request from a different
/// one.
std::string RequestDigest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody);

/// Acquires the claim or evaluates the existing one. Blocks, usually for one or
/// two calls of the store. Returns StoreUnavailable only if this attempt has
/// run nothing and found no claim; an earlier attempt with the same key cannot
/// be ruled out while the store is unavailable.
ClaimResult AcquireClaim(const KeyValueStore& aStore, const ClaimQuery& aQuery);

/// Stores the outcome of a granted claim.
ErrorOr<void> CompleteClaim(const KeyValueStore& aStore,
                            const ClaimQuery& aQuery,
                            const StoredResponse& aResponse);

/// Marks the outcome of a granted claim as unknown. The claim stays in the
/// store.
ErrorOr<void> MarkClaimUnknown(const KeyValueStore& aStore,
                               const ClaimQuery& aQuery);

/// Deletes the claim of this attempt. Call this only if the call has certainly
/// not run.
ErrorOr<void> ReleaseClaim(const KeyValueStore& aStore,
                           const ClaimQuery& aQuery);

/// Claims whose write had an unknown outcome and that are to be released, so
/// that their keys can be used again. Thread-safe.
class OrphanedClaims
{
public:
  OrphanedClaims();
  ~OrphanedClaims();

  /// Adds a claim to release. Drops the oldest claim if the queue is full; its
  /// key then stays blocked until the retention ends.
  void Add(const ClaimQuery& aQuery);
  /// Tries to release each queued claim once; call it every few seconds. A
  /// claim is tried in several rounds, because a delayed write may take effect
  /// after a read.
  void Release(const KeyValueStore& aStore);
  std::size_t size() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Leases by which the store deletes expired claims. All claims of a VM within
/// one hour share a lease, so that deletion costs no write per claim.
/// Thread-safe.
class ClaimLeases
{
public:
  ClaimLeases();
  ~ClaimLeases();

  /// Returns the lease for a claim acquired now, or 0 if the store grants none.
  /// A claim without a lease stays in the store until its key is used again
  /// after the retention.
  std::int64_t LeaseFor(const KeyValueStore& aStore,
                        UnixMilliseconds aNow,
                        Duration aRetention);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
