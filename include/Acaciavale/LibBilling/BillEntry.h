#pragma once

#include <Acaciavale/LibCore/Money.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <string>

/// Bills: one entry per request that was answered.
namespace Acaciavale {

/// Names one life of one VM; a VM that restarts or finds its ledger closed
/// takes a new incarnation.
struct Incarnation
{
  std::string mVm;
  std::string mNonce;

  auto operator<=>(const Incarnation&) const = default;
};

/// What one request costs its account.
struct BillEntry
{
  Incarnation mIncarnation;
  std::uint64_t mNumber = 0; ///< 1, 2, 3, … within the incarnation.
  std::string mRequestId;    ///< Request id.
  std::string mAccount;
  std::string mModel;   ///< Of the stage that answered, or the service.
  std::string mVersion; ///< Empty for a service.
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  Money mCharge; ///< All stages of the request together.
  UnixMilliseconds mTime{};

  auto operator<=>(const BillEntry&) const = default;
};

} // namespace Acaciavale
