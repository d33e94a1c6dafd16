#include "BurnFormat.h"

#include <Acaciavale/LibReport/BurnReport.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

constexpr double kPlotWidth = 216;
constexpr double kPlotHeight = 44;
constexpr double kHoursShown = 72;
constexpr double kBarWidth = 120;
constexpr double kBarHeight = 12;
/// The range of burn rates that the plots show, on a logarithmic scale.
constexpr double kMaxRate = 100;
constexpr double kMinRate = 0.1;

constexpr const char* kPageHead =
  "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
  "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\n"
  "<title>Service-level burn</title>\n<style>\n"
  ":root{color-scheme:light dark;--page:#fff;--ink:#1c2127;--soft:#5b6670;"
  "--line:#d5dbe1;--track:#e8ecf0;--none:#2e7d6b;--steady:#9a6a00;"
  "--slow:#b8480b;--fast:#b3162b}\n"
  "@media(prefers-color-scheme:dark){:root{--page:#15191e;--ink:#e6eaee;"
  "--soft:#9aa6b2;--line:#343c45;--track:#2a3139;--none:#5cc2a8;"
  "--steady:#e0b04a;--slow:#f08a4b;--fast:#ff6b7d}}\n"
  "body{margin:2rem auto;max-width:78rem;padding:0 1rem;background:var(--page);"
  "color:var(--ink);font:15px/1.45 system-ui,sans-serif}\n"
  "h1{font-size:1.4rem;margin:0}p{color:var(--soft);margin:.3rem 0 1rem}\n"
  ".scroll{overflow-x:auto}table{border-collapse:collapse;width:100%}\n"
  "th,td{padding:.4rem .6rem;border-bottom:1px solid var(--line);"
  "text-align:left;white-space:nowrap}\n"
  "th{color:var(--soft);font-weight:600;font-size:.85rem}\n"
  "td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}\n"
  ".fast{color:var(--fast)}.slow{color:var(--slow)}"
  ".steady{color:var(--steady)}.none{color:var(--none)}\n"
  ".fast,.slow,.steady{font-weight:600}svg{display:block}\n"
  "svg .track{fill:var(--track)}svg .fill{fill:currentColor}\n"
  "svg .rule{stroke:var(--soft);stroke-dasharray:3 3;stroke-width:1}\n"
  "svg .base{stroke:var(--line)}svg text{fill:var(--soft);font-size:9px}\n"
  "</style></head><body>\n";

std::string Escape(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped.push_back(character);
    }
  }
  return escaped;
}

std::string Rectangle(const char* aClass,
                      double aX,
                      double aY,
                      double aWidth,
                      double aHeight)
{
  return std::string("<rect class=\"") + aClass + "\" x=\"" + Decimal(aX, 1) +
         "\" y=\"" + Decimal(aY, 1) + "\" width=\"" + Decimal(aWidth, 1) +
         "\" height=\"" + Decimal(aHeight, 1) + "\"/>";
}

std::string BudgetSpentBar(const BurnLine& aLine)
{
  const double filled = kBarWidth * std::clamp(aLine.mBudgetSpent, 0.0, 1.0);
  return "<svg role=\"img\" aria-label=\"" + Percent(aLine.mBudgetSpent) +
         " of the budget spent\" width=\"120\" height=\"12\">" +
         Rectangle("track", 0, 0, kBarWidth, kBarHeight) +
         Rectangle("fill", 0, 0, filled, kBarHeight) + "</svg>";
}

/// The vertical position of a rate in the plot, in pixels from the top.
double VerticalPosition(double aRate)
{
  const double rate = std::clamp(aRate, kMinRate, kMaxRate);
  const double share =
    std::log(rate / kMinRate) / std::log(kMaxRate / kMinRate);
  return kPlotHeight * (1 - share);
}

std::string RateLine(double aRate)
{
  const std::string height = Decimal(VerticalPosition(aRate), 1);
  return "<line class=\"rule\" x1=\"0\" x2=\"216\" y1=\"" + height +
         "\" y2=\"" + height + "\"/>";
}

std::string HourlyRatePlot(const BurnLine& aLine, UnixMilliseconds aNow)
{
  constexpr double kColumnWidth = kPlotWidth / kHoursShown;
  constexpr double kMillisecondsPerHour = 3'600'000;
  std::string svg = "<svg role=\"img\" aria-label=\"burn rate by the hour over "
                    "three days\" width=\"216\" height=\"45\">";
  for (const BurnPoint& point : aLine.mHourlyRates) {
    const double hours =
      static_cast<double>((aNow - point.mStart).count()) / kMillisecondsPerHour;
    const double x = kPlotWidth - std::ceil(hours) * kColumnWidth;
    const double top = VerticalPosition(point.mRate);
    svg += Rectangle("fill",
                     std::max(0.0, x),
                     top,
                     kColumnWidth - 0.5,
                     std::max(0.5, kPlotHeight - top));
  }
  return svg + RateLine(1) +
         "<line class=\"base\" x1=\"0\" x2=\"216\" y1=\"44.5\" y2=\"44.5\"/>"
         "</svg>";
}

std::string Cell(const std::string& aText, const char* aClass = "")
{
  return std::string("<td class=\"") + aClass + "\">" + aText + "</td>";
}

std::string RowOf(const BurnLine& aLine, UnixMilliseconds aNow)
{
  const std::string level = NameOf(aLine.mLevel);
  std::string row = "<tr>" + Cell(Escape(aLine.mAccount)) +
                    Cell(Escape(aLine.mModel)) + Cell(NameOf(aLine.mKind)) +
                    Cell(Percent(aLine.mTarget), "n") +
                    Cell(BudgetSpentBar(aLine), level.c_str()) +
                    Cell(Percent(aLine.mBudgetSpent), "n");
  for (const double rate : aLine.mRates) {
    row += Cell(Decimal(rate, 1), "n");
  }
  return row + Cell(HourlyRatePlot(aLine, aNow), level.c_str()) +
         Cell(level, level.c_str()) + Cell(ExhaustionText(aLine.mExhaustedIn)) +
         "</tr>\n";
}

std::string Summary(const BurnReport& aReport)
{
  std::string text = "<h1>Service-level burn of " +
                     Escape(aReport.mDeployment) + "</h1>\n<p>" +
                     ReportTime(aReport.mTime) + ". ";
  for (const BurnLevel level :
       { BurnLevel::Fast, BurnLevel::Slow, BurnLevel::Steady }) {
    text += "<span class=\"" + NameOf(level) + "\">" +
            std::to_string(CountAtLevel(aReport, level)) + " " + NameOf(level) +
            "</span>, ";
  }
  return text + "of " + std::to_string(aReport.mLines.size()) +
         " objectives. A burn rate of 1 spends the error budget in exactly 28 "
         "days; the dashed line marks it. Plots show each hour of the last "
         "three days on a logarithmic scale from 0.1 to 100.</p>\n";
}

} // namespace

std::string BurnHtml(const BurnReport& aReport)
{
  std::string page = kPageHead + Summary(aReport);
  page += "<div class=\"scroll\"><table><thead><tr><th>Account</th>"
          "<th>Model</th><th>Objective</th><th class=\"n\">Target</th>"
          "<th>Budget</th><th class=\"n\">Spent</th>";
  for (std::size_t window = 0; window < kBurnWindows; ++window) {
    page +=
      "<th class=\"n\">" + NameOf(static_cast<BurnWindow>(window)) + "</th>";
  }
  page += "<th>Last three days</th><th>Level</th><th>Budget ends</th>"
          "</tr></thead><tbody>\n";
  for (const BurnLine& line : aReport.mLines) {
    page += RowOf(line, aReport.mTime);
  }
  return page + "</tbody></table></div>\n</body></html>\n";
}

} // namespace Acaciavale
