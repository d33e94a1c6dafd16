#pragma once

#include <Acaciavale/LibReport/SloCounters.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

/// The report on error budget burn: pure functions that compute a report from
/// counters and settings, and render a report as text, JSON or HTML.
namespace Acaciavale {

/// The time windows of the burn rates, shortest first.
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

/// How urgent a burn is. A level holds only if both a short and a long window
/// exceed its rate, so that neither a short spike nor a past fault triggers it.
enum class BurnLevel
{
  None,
  Steady, ///< Over 6 h and 3 d; the budget ends within the period.
  Slow,   ///< Over 1 h and 6 h; the budget ends within five days.
  Fast,   ///< Over 5 min and 1 h; the budget ends within two days.
};

std::string NameOf(BurnLevel aLevel);

/// The burn rate of one past hour.
struct BurnPoint
{
  UnixMilliseconds mStart{};
  double mRate = 0;

  auto operator<=>(const BurnPoint&) const = default;
};

/// The burn of one objective of an account and model.
struct BurnLine
{
  std::string mAccount;
  std::string mModel;
  SloKind mKind = SloKind::Availability;
  double mTarget = 0;      ///< Minimum share of good events.
  SloTally mPeriod;        ///< Events in the budget period.
  double mBudgetSpent = 0; ///< Spent share of the period's error budget.
  /// Burn rates by window: the share of bad events divided by the allowed
  /// share.
  std::array<double, kBurnWindows> mRates{};
  BurnLevel mLevel = BurnLevel::None;
  /// Time until the budget is spent at the rate of the last hour. 0 if it is
  /// already spent, empty if it lasts for the period.
  std::optional<UnixMilliseconds> mExhaustedIn;
  /// Hours with events in the last three days, in ascending order.
  std::vector<BurnPoint> mHourlyRates;

  auto operator<=>(const BurnLine&) const = default;
};

struct BurnReport
{
  std::string mDeployment;
  UnixMilliseconds mTime{};
  std::vector<BurnLine> mLines; ///< Ordered by urgency, most urgent first.

  auto operator<=>(const BurnReport&) const = default;
};

BurnReport MakeBurnReport(const Settings& aSettings,
                          const std::vector<SloCell>& aCells,
                          UnixMilliseconds aNow);

/// Renders the report as a text table with bars, for terminals.
std::string BurnText(const BurnReport& aReport);
/// Renders the report as JSON.
std::string BurnJson(const BurnReport& aReport);
/// Renders the report as a self-contained HTML page with plots, for light and
/// dark color schemes.
std::string BurnHtml(const BurnReport& aReport);

} // namespace Acaciavale
