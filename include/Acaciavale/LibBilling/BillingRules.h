#pragma once

#include <Acaciavale/LibCore/Money.h>

#include <cstdint>
#include <vector>

/// What a request costs, worked out from what ran for it.
namespace Acaciavale {

/// How one piece of work on an engine ended, as far as the bill goes.
enum class StageOutcome
{
  Answered,  ///< Its answer went to the caller.
  Escalated, ///< It ran to its end and the next stage of the cascade ran.
  CancelledByCaller, ///< The caller went away; what was delivered is charged.
  Failed,            ///< The engine failed or gave up: nothing is charged.
  Superseded, ///< A hedge or retry that another one made needless: nothing.
};

/// One piece of work on an engine: a stage, a retry of it, or a hedge.
struct StageUsage
{
  TokenPrice mInputPrice;
  TokenPrice mOutputPrice;
  std::int64_t mInputTokens = 0;
  /// Tokens generated; for CancelledByCaller those delivered to the caller, for
  /// a stream resumed elsewhere those of all its pieces, in the last one.
  std::int64_t mOutputTokens = 0;
  StageOutcome mOutcome = StageOutcome::Answered;

  auto operator<=>(const StageUsage&) const = default;
};

/// Whether the account pays for work that ended so.
bool IsCharged(StageOutcome aOutcome);

/// The charge of one piece of work.
Money ChargeOfStage(const StageUsage& aUsage);

/// The charge of a request: all stages that its account pays for.
Money ChargeOfRequest(const std::vector<StageUsage>& aUsages);

/// Tokens that the account pays for.
struct ChargedTokens
{
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;

  auto operator<=>(const ChargedTokens&) const = default;
};

ChargedTokens TokensOfRequest(const std::vector<StageUsage>& aUsages);

/// The charge of a call of a plain service: its price if the service answered
/// for itself, nothing if it failed (status 500 and above).
Money ChargeOfCall(Money aPricePerCall, int aStatus);

} // namespace Acaciavale
