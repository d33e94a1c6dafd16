#pragma once

#include <Acaciavale/LibClaims/Claims.h>

#include <optional>

/// The claim as the store holds it.
namespace Acaciavale {

enum class ClaimState
{
  Running,
  Done,
  Unknown,
};

struct ClaimRecord
{
  std::string mNonce; ///< Of the attempt that took the claim.
  std::string mVm;
  std::string mRequestDigest;
  ClaimState mState = ClaimState::Running;
  UnixMilliseconds mAcquiredAt{};
  std::int64_t mLease = 0;
  StoredResponse mResponse; ///< For Done.

  auto operator<=>(const ClaimRecord&) const = default;
};

std::string EncodeClaim(const ClaimRecord& aRecord);

/// Returns nothing for a value that no EncodeClaim wrote.
std::optional<ClaimRecord> DecodeClaim(const std::string& aValue);

} // namespace Acaciavale
