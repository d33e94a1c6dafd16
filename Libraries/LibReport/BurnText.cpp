#include "BurnFormat.h"

#include <Acaciavale/LibReport/BurnReport.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kBarLength = 10;

/// A bar of full and empty blocks. If the share exceeds 1, it ends in '>'.
std::string Bar(double aShare)
{
  const auto full = static_cast<std::size_t>(
    std::lround(std::clamp(aShare, 0.0, 1.0) * kBarLength));
  std::string bar;
  for (std::size_t cell = 0; cell < kBarLength; ++cell) {
    bar += cell < full ? "█" : "░";
  }
  return bar + (aShare > 1 ? ">" : " ");
}

std::string PadRight(std::string aText, std::size_t aWidth)
{
  aText.resize(std::max(aText.size(), aWidth), ' ');
  return aText;
}

std::string PadLeft(const std::string& aText, std::size_t aWidth)
{
  return aText.size() >= aWidth
           ? aText
           : std::string(aWidth - aText.size(), ' ') + aText;
}

std::size_t WidestName(const BurnReport& aReport)
{
  std::size_t widest = 0;
  for (const BurnLine& line : aReport.mLines) {
    widest = std::max(widest, line.mAccount.size() + line.mModel.size() + 1);
  }
  return widest;
}

std::string LineText(const BurnLine& aLine, std::size_t aNameWidth)
{
  constexpr std::size_t kKindWidth = 15;
  constexpr std::size_t kRateWidth = 8;
  constexpr std::size_t kShareWidth = 8;
  std::string text = PadRight(aLine.mAccount + " " + aLine.mModel, aNameWidth);
  text += "  " + PadRight(NameOf(aLine.mKind), kKindWidth);
  text +=
    Bar(aLine.mBudgetSpent) + PadLeft(Percent(aLine.mBudgetSpent), kShareWidth);
  for (const double rate : aLine.mRates) {
    text += PadLeft(Decimal(rate, 1), kRateWidth);
  }
  return text + "  " + PadRight(NameOf(aLine.mLevel), 7) +
         ExhaustionText(aLine.mExhaustedIn) + "\n";
}

Json LineJson(const BurnLine& aLine)
{
  Json rates = Json::object();
  for (std::size_t window = 0; window < kBurnWindows; ++window) {
    rates[NameOf(static_cast<BurnWindow>(window))] = aLine.mRates[window];
  }
  Json json{
    { "account", aLine.mAccount },          { "model", aLine.mModel },
    { "objective", NameOf(aLine.mKind) },   { "target", aLine.mTarget },
    { "events", aLine.mPeriod.mTotal },     { "bad", aLine.mPeriod.Bad() },
    { "budget_spent", aLine.mBudgetSpent }, { "burn_rates", rates },
    { "level", NameOf(aLine.mLevel) },      { "ends_in_seconds", nullptr }
  };
  if (aLine.mExhaustedIn) {
    json["ends_in_seconds"] = aLine.mExhaustedIn->count() / 1000;
  }
  return json;
}

} // namespace

std::string BurnText(const BurnReport& aReport)
{
  const std::size_t width = WidestName(aReport);
  std::string text =
    "burn of " + aReport.mDeployment + " at " + ReportTime(aReport.mTime) +
    ": " + std::to_string(CountAtLevel(aReport, BurnLevel::Fast)) + " fast, " +
    std::to_string(CountAtLevel(aReport, BurnLevel::Slow)) + " slow, " +
    std::to_string(CountAtLevel(aReport, BurnLevel::Steady)) + " steady of " +
    std::to_string(aReport.mLines.size()) + " objectives\n";
  if (aReport.mLines.empty()) {
    return text + "nothing was counted yet\n";
  }
  text += PadRight("account model", width) +
          "  objective      budget spent             5m      1h      6h      "
          "3d     28d  level  budget ends\n";
  for (const BurnLine& line : aReport.mLines) {
    text += LineText(line, width);
  }
  return text;
}

std::string BurnJson(const BurnReport& aReport)
{
  Json lines = Json::array();
  for (const BurnLine& line : aReport.mLines) {
    lines.push_back(LineJson(line));
  }
  const Json report{ { "deployment", aReport.mDeployment },
                     { "time_ms", aReport.mTime.count() },
                     { "objectives", lines } };
  return report.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace Acaciavale
