#include <Acaciavale/LibReport/BurnReport.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace Acaciavale {

namespace {

constexpr UnixMilliseconds kHour = std::chrono::hours(1);
constexpr UnixMilliseconds kHourlyRateSpan = std::chrono::hours(72);

// Minimum burn rates of the levels. A rate of 14.4 spends the 28-day budget in
// two days, a rate of 6 in five days, and a rate of 1 in exactly 28 days.
constexpr double kFastRate = 14.4;
constexpr double kSlowRate = 6;
constexpr double kSteadyRate = 1;

double TargetOf(const ObjectiveSettings& aObjective, SloKind aKind)
{
  switch (aKind) {
    case SloKind::Availability:
      return aObjective.mAvailability;
    case SloKind::FirstToken:
    case SloKind::BetweenTokens:
      return aObjective.mLatencyShare;
    case SloKind::Quality:
      return aObjective.mQuality;
  }
  return 0;
}

SloTally Sum(const SloCell& aCell,
             SloKind aKind,
             UnixMilliseconds aFrom,
             UnixMilliseconds aTo)
{
  SloTally sum;
  for (const SloBucket& bucket : aCell.mBuckets) {
    if (bucket.mStart + bucket.mWidth > aFrom && bucket.mStart < aTo) {
      const SloTally& tally = bucket.mTallies[static_cast<std::size_t>(aKind)];
      sum.mGood += tally.mGood;
      sum.mTotal += tally.mTotal;
    }
  }
  return sum;
}

double RateOf(const SloTally& aTally, double aTarget)
{
  if (aTally.mTotal == 0 || aTarget >= 1) {
    return 0;
  }
  const double bad =
    static_cast<double>(aTally.Bad()) / static_cast<double>(aTally.mTotal);
  return bad / (1 - aTarget);
}

/// The number of bad events allowed in the whole period, extrapolated from the
/// traffic since the first counted event.
double ErrorBudget(const SloCell& aCell,
                   const SloTally& aPeriod,
                   double aTarget,
                   UnixMilliseconds aNow)
{
  const UnixMilliseconds first =
    aCell.mBuckets.empty() ? aNow : aCell.mBuckets.front().mStart;
  const UnixMilliseconds elapsed =
    std::clamp(aNow - first, kHour, kBudgetPeriod);
  const double scale = static_cast<double>(kBudgetPeriod.count()) /
                       static_cast<double>(elapsed.count());
  return static_cast<double>(aPeriod.mTotal) * scale * (1 - aTarget);
}

BurnLevel LevelOf(const std::array<double, kBurnWindows>& aRates)
{
  const auto above = [&](BurnWindow aShort, BurnWindow aLong, double aRate) {
    return aRates[static_cast<std::size_t>(aShort)] >= aRate &&
           aRates[static_cast<std::size_t>(aLong)] >= aRate;
  };
  if (above(BurnWindow::FiveMinutes, BurnWindow::Hour, kFastRate)) {
    return BurnLevel::Fast;
  }
  if (above(BurnWindow::Hour, BurnWindow::SixHours, kSlowRate)) {
    return BurnLevel::Slow;
  }
  if (above(BurnWindow::SixHours, BurnWindow::ThreeDays, kSteadyRate)) {
    return BurnLevel::Steady;
  }
  return BurnLevel::None;
}

std::optional<UnixMilliseconds> TimeToExhaustion(double aBudget,
                                                 const SloTally& aPeriod,
                                                 const SloTally& aLastHour)
{
  const double left = aBudget - static_cast<double>(aPeriod.Bad());
  if (left <= 0 && aPeriod.Bad() > 0) {
    return UnixMilliseconds(0);
  }
  if (aLastHour.Bad() == 0) {
    return std::nullopt;
  }
  const double hours = left / static_cast<double>(aLastHour.Bad());
  const double milliseconds = hours * static_cast<double>(kHour.count());
  if (milliseconds >= static_cast<double>(kBudgetPeriod.count())) {
    return std::nullopt;
  }
  return UnixMilliseconds(static_cast<std::int64_t>(milliseconds));
}

std::vector<BurnPoint> HourlyRatesOf(const SloCell& aCell,
                                     SloKind aKind,
                                     double aTarget,
                                     UnixMilliseconds aNow)
{
  std::map<UnixMilliseconds, SloTally> hours;
  for (const SloBucket& bucket : aCell.mBuckets) {
    const SloTally& tally = bucket.mTallies[static_cast<std::size_t>(aKind)];
    if (bucket.mStart >= aNow - kHourlyRateSpan && tally.mTotal > 0) {
      SloTally& hour = hours[bucket.mStart - bucket.mStart % kHour];
      hour.mGood += tally.mGood;
      hour.mTotal += tally.mTotal;
    }
  }
  std::vector<BurnPoint> past;
  past.reserve(hours.size());
  for (const auto& [start, tally] : hours) {
    past.push_back({ start, RateOf(tally, aTarget) });
  }
  return past;
}

BurnLine MakeLine(const SloCell& aCell,
                  SloKind aKind,
                  double aTarget,
                  UnixMilliseconds aNow)
{
  BurnLine line;
  line.mAccount = aCell.mAccount;
  line.mModel = aCell.mModel;
  line.mKind = aKind;
  line.mTarget = aTarget;
  std::array<SloTally, kBurnWindows> sums;
  for (std::size_t window = 0; window < kBurnWindows; ++window) {
    const UnixMilliseconds from =
      aNow - LengthOf(static_cast<BurnWindow>(window));
    // NOTE: The window extends past now, since the current bucket may end after
    //       it.
    sums[window] = Sum(aCell, aKind, from, aNow + kHour);
    line.mRates[window] = RateOf(sums[window], aTarget);
  }
  line.mPeriod = sums.back();
  const double budget = ErrorBudget(aCell, line.mPeriod, aTarget, aNow);
  line.mBudgetSpent =
    budget > 0 ? static_cast<double>(line.mPeriod.Bad()) / budget : 0;
  line.mLevel = LevelOf(line.mRates);
  line.mExhaustedIn = TimeToExhaustion(
    budget, line.mPeriod, sums[static_cast<std::size_t>(BurnWindow::Hour)]);
  line.mHourlyRates = HourlyRatesOf(aCell, aKind, aTarget, aNow);
  return line;
}

bool IsMoreUrgent(const BurnLine& aLeft, const BurnLine& aRight)
{
  return std::tie(
           aRight.mLevel, aRight.mBudgetSpent, aLeft.mAccount, aLeft.mModel) <
         std::tie(
           aLeft.mLevel, aLeft.mBudgetSpent, aRight.mAccount, aRight.mModel);
}

} // namespace

std::string NameOf(BurnWindow aWindow)
{
  switch (aWindow) {
    case BurnWindow::FiveMinutes:
      return "5m";
    case BurnWindow::Hour:
      return "1h";
    case BurnWindow::SixHours:
      return "6h";
    case BurnWindow::ThreeDays:
      return "3d";
    case BurnWindow::Period:
      return "28d";
  }
  return "";
}

UnixMilliseconds LengthOf(BurnWindow aWindow)
{
  switch (aWindow) {
    case BurnWindow::FiveMinutes:
      return std::chrono::minutes(5);
    case BurnWindow::Hour:
      return kHour;
    case BurnWindow::SixHours:
      return std::chrono::hours(6);
    case BurnWindow::ThreeDays:
      return std::chrono::hours(72);
    case BurnWindow::Period:
      return kBudgetPeriod;
  }
  return kHour;
}

std::string NameOf(BurnLevel aLevel)
{
  switch (aLevel) {
    case BurnLevel::None:
      return "none";
    case BurnLevel::Steady:
      return "steady";
    case BurnLevel::Slow:
      return "slow";
    case BurnLevel::Fast:
      return "fast";
  }
  return "";
}

BurnReport MakeBurnReport(const Settings& aSettings,
                          const std::vector<SloCell>& aCells,
                          UnixMilliseconds aNow)
{
  BurnReport report{ aSettings.mDeployment.mName, aNow, {} };
  for (const SloCell& cell : aCells) {
    const auto objective = FindObjective(aSettings, cell.mAccount, cell.mModel);
    for (const SloKind kind : kAllSloKinds) {
      BurnLine line = MakeLine(cell, kind, TargetOf(objective, kind), aNow);
      if (line.mPeriod.mTotal > 0) {
        report.mLines.push_back(std::move(line));
      }
    }
  }
  std::stable_sort(report.mLines.begin(), report.mLines.end(), IsMoreUrgent);
  return report;
}

} // namespace Acaciavale
