#pragma once

#include <Acaciavale/LibReport/BurnReport.h>

#include <optional>
#include <string>

/// Pieces of text that the report's formats share.
namespace Acaciavale {

/// A number with so many decimals.
std::string Decimal(double aNumber, int aDecimals);

/// "12.3%".
std::string Percent(double aShare);

/// "spent", "in 3 h", "in 2 d" or "not within the period".
std::string ExhaustionText(const std::optional<UnixMilliseconds>& aExhaustedIn);

/// "2026-12-04 00:30 UTC".
std::string ReportTime(UnixMilliseconds aTime);

/// How many lines stand at this level.
std::size_t CountAtLevel(const BurnReport& aReport, BurnLevel aLevel);

} // namespace Acaciavale
