#include <Acaciavale/LibBilling/BillingRules.h>

namespace Acaciavale {

namespace {

constexpr int kFirstServerErrorStatus = 500;

} // namespace

bool IsCharged(StageOutcome aOutcome)
{
  return aOutcome == StageOutcome::Answered ||
         aOutcome == StageOutcome::Escalated ||
         aOutcome == StageOutcome::CutByCaller;
}

Money ChargeOfStage(const StageUse& aUse)
{
  if (!IsCharged(aUse.mOutcome)) {
    return {};
  }
  return Charge(aUse.mInputPrice, aUse.mInputTokens) +
         Charge(aUse.mOutputPrice, aUse.mOutputTokens);
}

Money ChargeOfRequest(const std::vector<StageUse>& aUses)
{
  Money sum;
  for (const StageUse& use : aUses) {
    sum = sum + ChargeOfStage(use);
  }
  return sum;
}

ChargedTokens TokensOfRequest(const std::vector<StageUse>& aUses)
{
  ChargedTokens tokens;
  for (const StageUse& use : aUses) {
    if (IsCharged(use.mOutcome)) {
      tokens.mInputTokens += use.mInputTokens;
      tokens.mOutputTokens += use.mOutputTokens;
    }
  }
  return tokens;
}

Money ChargeOfCall(Money aPricePerCall, int aStatus)
{
  return aStatus < kFirstServerErrorStatus ? aPricePerCall : Money{};
}

} // namespace Acaciavale
