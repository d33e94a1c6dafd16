#pragma once

#include <Acaciavale/LibClaims/Claims.h>

#include <optional>

/// Encoding of a claim in the store.
namespace Acaciavale {

enum class ClaimState
{
  Running,
  Done,
  Unknown,
};

struct ClaimRecord
{
  std::string mNonce; ///< Nonce of the attempt that acquired the claim.
  std::string mVm;
  std::string mRequestDigest;
  ClaimState mState = ClaimState::Running;
  UnixMilliseconds mAcquiredAt{};
  std::int64_t mLease = 0;
  StoredResponse mResponse; ///< Set for Done.

  auto operator<=>(const ClaimRecord&) const = default;
};

std::string EncodeClaim(const ClaimRecord& aRecord);

/// Returns nothing for a malformed value.
std::optional<ClaimRecord> DecodeClaim(const std::string& aValue);

} // namespace Acaciavale
