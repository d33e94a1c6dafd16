#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Values with units, from text.
namespace Acaciavale {

/// A number without needless digits.
std::string FormatNumber(double aNumber);

std::optional<double> ParseNumber(const std::string& aText);
std::optional<std::int64_t> ParseInteger(const std::string& aText);
/// An integer followed by exactly this unit.
std::optional<std::int64_t> ParseWithUnit(const std::string& aText,
                                          const std::string& aUnit);
std::optional<Duration> ParseDuration(const std::string& aText);
std::optional<std::int64_t> ParseBytes(const std::string& aText);
std::optional<double> ParseRate(const std::string& aText);
std::optional<bool> ParseYesNo(const std::string& aText);
std::optional<CascadeStage> ParseStage(const std::string& aText);
bool IsName(const std::string& aText);
bool IsHexadecimal(const std::string& aText);

/// The words of an enumerated type, in order; none for other types.
std::vector<std::string> EnumWords(SettingType aType);
std::optional<std::size_t> WordIndex(SettingType aType,
                                     const std::string& aText);

/// The number behind a value, in the base unit: seconds, bytes, micros.
std::optional<double> NumericValue(SettingType aType, const std::string& aText);

/// What the reference page and findings say that a type allows.
std::string AllowedValues(SettingType aType);

/// What is wrong with the value, or nothing.
std::optional<std::string> FindValueError(const SettingRow& aRow,
                                          const std::string& aText);

} // namespace Acaciavale
