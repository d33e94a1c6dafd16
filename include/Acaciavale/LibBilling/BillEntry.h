#pragma once

#include <Acaciavale/LibCore/Money.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <string>

/// Billing entries: one per answered request.
namespace Acaciavale {

/// Identifies one incarnation of a VM. A VM starts a new incarnation when it
/// restarts or finds its ledger closed by another VM.
struct Incarnation
{
  std::string mVm;
  std::string mNonce;

  auto operator<=>(const Incarnation&) const = default;
};

/// The charge for one request to an account.
struct BillEntry
{
  Incarnation mIncarnation;
  std::uint64_t mNumber = 0; ///< Sequence number in the incarnation, from 1.
  std::string mRequestId;
  std::string mAccount;
  std::string mModel;   ///< Model that answered, or the service name.
  std::string mVersion; ///< Model version; empty for a service.
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  Money mCharge; ///< Sum over all charged stages.
  UnixMilliseconds mTime{};

  auto operator<=>(const BillEntry&) const = default;
};

} // namespace Acaciavale
