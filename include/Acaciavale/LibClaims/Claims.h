#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <memory>
#include <string>

/// Claims: a call that may not be repeated runs at most once.
namespace Acaciavale {

/// The answer of a call as it is kept for callers who ask again.
struct StoredAnswer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;

  auto operator<=>(const StoredAnswer&) const = default;
};

enum class ClaimVerdict
{
  Granted,     ///< This caller runs the call, and nobody else ever will.
  Done,        ///< It ran; the stored answer goes to the caller.
  InProgress,  ///< Another request runs it now.
  Unknown,     ///< It may have run; its outcome is not known.
  BodyDiffers, ///< The key was used for another request.
  StoreDown,   ///< Nothing was claimed and nothing ran.
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
  Duration mRunLimit{};

  auto operator<=>(const ClaimQuery&) const = default;
};

struct ClaimResult
{
  ClaimVerdict mVerdict = ClaimVerdict::StoreDown;
  StoredAnswer mAnswer; ///< For Done.

  auto operator<=>(const ClaimResult&) const = default;
};

/// Takes or inspects the claim. Blocks for one or two calls of the store.
ClaimResult TakeClaim(const KeyValueStore& aStore, const ClaimQuery& aQuery);

/// Stores the outcome of a granted claim.
ErrorOr<void> CompleteClaim(const KeyValueStore& aStore,
                            const ClaimQuery& aQuery,
                            const StoredAnswer& aAnswer);

/// Records that the outcome cannot be known; the claim is kept.
ErrorOr<void> MarkClaimUnknown(const KeyValueStore& aStore,
                               const ClaimQuery& aQuery);

/// Gives a claim back where it is certain that nothing ran.
ErrorOr<void> ReleaseClaim(const KeyValueStore& aStore,
                           const ClaimQuery& aQuery);

} // namespace Acaciavale
