#pragma once

#include <Acaciavale/LibReport/SloCounters.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

/// The report on service-level burn: pure functions from counters and settings
/// to a report, and from a report to text, JSON and a page.
namespace Acaciavale {

/// The windows that burn rates are given over, shortest first.
enum class BurnWindow
{
  FiveMinutes,
  Hour,
  SixHours,
  ThreeDays,
  Period,
};

constexpr std::size_t kBurnWindows = 5;

std::string NameOf(BurnWindow aWindow);
UnixMilliseconds LengthOf(BurnWindow aWindow);

/// How urgent a burn is. Each level needs a short and a long window to agree,
/// so that neither a blip nor a past fault raises it.
enum class BurnLevel
{
  None,
  Steady, ///< Six hours and three days: the budget will not last the period.
  Slow,   ///< One hour and six hours: gone within days.
  Fast,   ///< Five minutes and one hour: gone within two days.
};

std::string NameOf(BurnLevel aLevel);

/// The burn over one hour of the past.
struct BurnPoint
{
  UnixMilliseconds mStart{};
  double mRate = 0;

  auto operator<=>(const BurnPoint&) const = default;
};

/// One objective of an account and model.
struct BurnLine
{
  std::string mAccount;
  std::string mModel;
  SloKind mKind = SloKind::Availability;
  double mTarget = 0;      ///< Share of events that must be good.
  SloTally mPeriod;        ///< Events of the budget period.
  double mBudgetSpent = 0; ///< Share of the period's error budget.
  /// Share of bad events over the share allowed, by window.
  std::array<double, kBurnWindows> mRates{};
  BurnLevel mLevel = BurnLevel::None;
  /// When the budget ends at the rate of the last hour; 0 if it is spent,
  /// nothing if it does not end within the period.
  std::optional<UnixMilliseconds> mExhaustedIn;
  std::vector<BurnPoint>
    mHourlyRates; ///< Hours of the last three days, in order.

  auto operator<=>(const BurnLine&) const = default;
};

struct BurnReport
{
  std::string mDeployment;
  UnixMilliseconds mTime{};
  std::vector<BurnLine> mLines; ///< The most urgent first.

  auto operator<=>(const BurnReport&) const = default;
};

BurnReport MakeBurnReport(const Settings& aSettings,
                          const std::vector<SloCell>& aCells,
                          UnixMilliseconds aNow);

/// Text with small bars for a terminal.
std::string BurnText(const BurnReport& aReport);
std::string BurnJson(const BurnReport& aReport);
/// One page that needs nothing else, with plots, for light and dark.
std::string BurnHtml(const BurnReport& aReport);

} // namespace Acaciavale
