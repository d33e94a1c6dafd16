#pragma once

#include <Acaciavale/LibReport/BurnReport.h>

#include <optional>
#include <string>

/// Text formatting shared by the report formats.
namespace Acaciavale {

/// Formats a number with the given number of decimals.
std::string Decimal(double aNumber, int aDecimals);

/// Formats a share as a percentage with one decimal, such as "12.3%".
std::string Percent(double aShare);

/// Formats the time until a budget is spent: "spent", "in 5 min", "in 3 h",
/// "in 2 d" or "not within the period".
std::string ExhaustionText(const std::optional<UnixMilliseconds>& aExhaustedIn);

/// Formats a time, such as "2026-12-04 00:30 UTC".
std::string ReportTime(UnixMilliseconds aTime);

/// Number of lines with this level.
std::size_t CountAtLevel(const BurnReport& aReport, BurnLevel aLevel);

} // namespace Acaciavale
