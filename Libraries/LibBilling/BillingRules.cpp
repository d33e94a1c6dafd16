#include <Acaciavale/LibBilling/BillingRules.h>

namespace Acaciavale {

namespace {

constexpr int kFirstServerErrorStatus = 500;

} // namespace

bool IsCharged(StageOutcome aOutcome)
{
  return aOutcome == StageOutcome::Answered ||
         aOutcome == StageOutcome::Escalated ||
         aOutcome == StageOutcome::CancelledByCaller;
}

Money ChargeOfStage(const StageUsage& aUsage)
{
  if (!IsCharged(aUsage.mOutcome)) {
    return {};
  }
  return Charge(aUsage.mInputPrice, aUsage.mInputTokens) +
         Charge(aUsage.mOutputPrice, aUsage.mOutputTokens);
}

Money ChargeOfRequest(const std::vector<StageUsage>& aUsages)
{
  Money sum;
  for (const StageUsage& usage : aUsages) {
    sum = sum + ChargeOfStage(usage);
  }
  return sum;
}

ChargedTokens TokensOfRequest(const std::vector<StageUsage>& aUsages)
{
  ChargedTokens tokens;
  for (const StageUsage& usage : aUsages) {
    if (IsCharged(usage.mOutcome)) {
      tokens.mInputTokens += usage.mInputTokens;
      tokens.mOutputTokens += usage.mOutputTokens;
    }
  }
  return tokens;
}

Money ChargeOfCall(Money aPricePerCall, int aStatus)
{
  return aStatus < kFirstServerErrorStatus ? aPricePerCall : Money{};
}

} // namespace Acaciavale
