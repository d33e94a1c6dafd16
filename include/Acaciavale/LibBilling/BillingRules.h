#pragma once

#include <Acaciavale/LibCore/Money.h>

#include <cstdint>
#include <vector>

/// Computes the charge of a request from the work that ran for it.
namespace Acaciavale {

/// How one run on an engine ended, as far as billing is concerned.
enum class StageOutcome
{
  Answered,          ///< The answer was sent to the caller.
  Escalated,         ///< The run completed; the next cascade stage ran too.
  CancelledByCaller, ///< The caller disconnected; delivered tokens are charged.
  Failed,            ///< The engine failed or aborted; nothing is charged.
  Superseded,        ///< Another attempt answered first; nothing is charged.
};

/// One run on an engine: a cascade stage, a retry of it, or a hedge.
struct StageUsage
{
  TokenPrice mInputPrice;
  TokenPrice mOutputPrice;
  std::int64_t mInputTokens = 0;
  /// Tokens generated. With CancelledByCaller, only the tokens delivered to the
  /// caller. For a stream resumed on another endpoint, the last run holds the
  /// tokens of all runs.
  std::int64_t mOutputTokens = 0;
  StageOutcome mOutcome = StageOutcome::Answered;

  auto operator<=>(const StageUsage&) const = default;
};

/// Whether the account pays for a run with this outcome.
bool IsCharged(StageOutcome aOutcome);

/// The charge of one run on an engine.
Money ChargeOfStage(const StageUsage& aUsage);

/// The charge of a request: the sum over all charged runs.
Money ChargeOfRequest(const std::vector<StageUsage>& aUsages);

/// Token counts that the account pays for.
struct ChargedTokens
{
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;

  auto operator<=>(const ChargedTokens&) const = default;
};

ChargedTokens TokensOfRequest(const std::vector<StageUsage>& aUsages);

/// The charge of a call to a plain service: its price, or nothing if the
/// service failed (HTTP status 500 and above).
Money ChargeOfCall(Money aPricePerCall, int aStatus);

} // namespace Acaciavale
