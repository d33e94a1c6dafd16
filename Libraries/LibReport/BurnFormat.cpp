#include "BurnFormat.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace Acaciavale {

namespace {

constexpr double kPercent = 100;
constexpr std::int64_t kMillisecondsPerMinute = 60'000;
constexpr std::int64_t kMinutesPerHour = 60;
constexpr std::int64_t kMinutesPerDay = 1440;
constexpr std::size_t kMaxTextBytes = 64;

} // namespace

std::string Decimal(double aNumber, int aDecimals)
{
  std::array<char, kMaxTextBytes> text{};
  std::snprintf(text.data(), text.size(), "%.*f", aDecimals, aNumber);
  return text.data();
}

std::string Percent(double aShare)
{
  return Decimal(aShare * kPercent, 1) + "%";
}

std::string ExhaustionText(const std::optional<UnixMilliseconds>& aExhaustedIn)
{
  if (!aExhaustedIn) {
    return "not within the period";
  }
  const std::int64_t minutes = aExhaustedIn->count() / kMillisecondsPerMinute;
  if (aExhaustedIn->count() == 0) {
    return "spent";
  }
  if (minutes < 2 * kMinutesPerHour) {
    return "in " + std::to_string(minutes) + " min";
  }
  if (minutes < 2 * kMinutesPerDay) {
    return "in " + std::to_string(minutes / kMinutesPerHour) + " h";
  }
  return "in " + std::to_string(minutes / kMinutesPerDay) + " d";
}

std::string ReportTime(UnixMilliseconds aTime)
{
  const std::time_t seconds = aTime.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, kMaxTextBytes> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC", &parts);
  return text.data();
}

std::size_t CountAtLevel(const BurnReport& aReport, BurnLevel aLevel)
{
  return static_cast<std::size_t>(std::count_if(
    aReport.mLines.begin(), aReport.mLines.end(), [&](const auto& aLine) {
      return aLine.mLevel == aLevel;
    }));
}

} // namespace Acaciavale
