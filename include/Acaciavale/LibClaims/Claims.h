#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

/// Claims: a call that may not be repeated runs at most once.
namespace Acaciavale {

/// The answer of a call as it is kept for callers who ask again.
struct StoredResponse
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;

  auto operator<=>(const StoredResponse&) const = default;
};

enum class ClaimVerdict
{
  Granted,          ///< This caller runs the call, and nobody else ever will.
  Done,             ///< It ran; the stored answer goes to the caller.
  InProgress,       ///< Another request runs it now.
  Unknown,          ///< It may have run; its outcome is not known.
  RequestDiffers,   ///< The key was used for another request.
  StoreUnavailable, ///< Nothing was claimed and nothing ran.
};

struct ClaimQuery
{
  std::string mAccount;
  std::string mKey; ///< The caller's Idempotency-Key.
  std::string mRequestDigest;
  std::string mVm;
  UnixMilliseconds mNow{};
  Duration mRetention{};
  /// After this long without an outcome, a claim is reported as unknown.
  Duration mRunTimeout{};
  /// Names this attempt among all others: the request id. Without one, the
  /// claim is known by its VM and digest alone.
  std::string mNonce{};
  /// The store drops the claim when this lease lapses; 0 is none. See
  /// ClaimLeases.
  std::int64_t mLease = 0;

  auto operator<=>(const ClaimQuery&) const = default;
};

struct ClaimResult
{
  ClaimVerdict mVerdict = ClaimVerdict::StoreUnavailable;
  StoredResponse mResponse; ///< For Done.
  /// With StoreUnavailable: the write may yet have taken effect, so that the
  /// key stays blocked until the claim is released. Hand the query to
  /// OrphanedClaims.
  bool mMayBeClaimed = false;

  auto operator<=>(const ClaimResult&) const = default;
};

/// Longest body that is kept with a claim, in bytes. The answer to a longer one
/// reaches its caller, but those who ask again get Unknown.
constexpr std::size_t kMaxStoredBodyBytes = 524'288;

/// Where the store keeps the claim.
std::string ClaimKey(const std::string& aAccount, const std::string& aKey);

/// The digest by which a repeated request is told from another one.
std::string RequestDigest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody);

/// Takes or inspects the claim. Blocks for one or two calls of the store.
/// StoreUnavailable is said only where this attempt ran nothing and found no
/// claim; an earlier attempt under the same key is not ruled out while the
/// store is down.
ClaimResult AcquireClaim(const KeyValueStore& aStore, const ClaimQuery& aQuery);

/// Stores the outcome of a granted claim.
ErrorOr<void> CompleteClaim(const KeyValueStore& aStore,
                            const ClaimQuery& aQuery,
                            const StoredResponse& aResponse);

/// Records that the outcome cannot be known; the claim is kept.
ErrorOr<void> MarkClaimUnknown(const KeyValueStore& aStore,
                               const ClaimQuery& aQuery);

/// Gives a claim back where it is certain that nothing ran.
ErrorOr<void> ReleaseClaim(const KeyValueStore& aStore,
                           const ClaimQuery& aQuery);

/// Claims whose taking was left in doubt, waiting to be released so that their
/// keys can be used again. Thread-safe.
class OrphanedClaims
{
public:
  OrphanedClaims();
  ~OrphanedClaims();

  /// Forgets the oldest when too many wait; their keys stay blocked until the
  /// retention ends.
  void Add(const ClaimQuery& aQuery);
  /// Tries each waiting claim once; call it every few seconds. A claim is kept
  /// for several rounds, since a delayed write may arrive after a reading.
  void Release(const KeyValueStore& aStore);
  std::size_t size() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Leases that make the store forget claims: one per VM and hour, shared by all
/// claims of that hour, so that forgetting costs no write per claim.
/// Thread-safe.
class ClaimLeases
{
public:
  ClaimLeases();
  ~ClaimLeases();

  /// The lease for a claim taken now; 0 when the store grants none, in which
  /// case the claim stays until its key is used again after the retention.
  std::int64_t LeaseFor(const KeyValueStore& aStore,
                        UnixMilliseconds aNow,
                        Duration aRetention);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
