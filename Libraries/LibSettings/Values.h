#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Parsing and formatting of values with units.
namespace Acaciavale {

/// Formats a number without trailing zeros.
std::string FormatNumber(double aNumber);

std::optional<double> ParseNumber(const std::string& aText);
std::optional<std::int64_t> ParseInteger(const std::string& aText);
/// Parses an integer followed by exactly this unit.
std::optional<std::int64_t> ParseWithUnit(const std::string& aText,
                                          const std::string& aUnit);
std::optional<Duration> ParseDuration(const std::string& aText);
std::optional<std::int64_t> ParseBytes(const std::string& aText);
std::optional<double> ParseRate(const std::string& aText);
std::optional<bool> ParseYesNo(const std::string& aText);
std::optional<CascadeStage> ParseStage(const std::string& aText);
bool IsName(const std::string& aText);
bool IsHexadecimal(const std::string& aText);

/// Returns the words of an enumerated type, in order; empty for other types.
std::vector<std::string> EnumWords(SettingType aType);
std::optional<std::size_t> WordIndex(SettingType aType,
                                     const std::string& aText);

/// Returns a value as a number in its base unit: seconds, bytes or micros;
/// nothing if it is not a number of this type.
std::optional<double> NumericValue(SettingType aType, const std::string& aText);

/// Describes the values that a type allows, for the reference page and
/// findings.
std::string AllowedValues(SettingType aType);

/// Returns what is wrong with the value, or nothing.
std::optional<std::string> FindValueError(const SettingRow& aRow,
                                          const std::string& aText);

} // namespace Acaciavale
