#include "Values.h"
#include "Text.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Acaciavale {

namespace {

struct Unit
{
  const char* mName;
  std::int64_t mFactor;
};

constexpr Unit kDurationUnits[] = { { "us", 1'000 },
                                    { "ms", 1'000'000 },
                                    { "s", 1'000'000'000 },
                                    { "m", 60'000'000'000 },
                                    { "h", 3'600'000'000'000 } };
constexpr Unit kByteUnits[] = { { "B", 1 },
                                { "KiB", 1LL << 10 },
                                { "MiB", 1LL << 20 } };
constexpr double kNanosecondsPerSecond = 1e9;
constexpr std::size_t kMaxNameLength = 64;
constexpr const char* kPriceUnit = "micros/Mtok";
constexpr const char* kAmountUnit = "micros";

template<std::size_t Count>
std::optional<std::int64_t> ParseWithAnyUnit(const std::string& aText,
                                             const Unit (&aUnits)[Count])
{
  const std::size_t digits = aText.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string::npos) {
    return std::nullopt;
  }
  const auto number = ParseInteger(aText.substr(0, digits));
  const std::string name = Trimmed(aText.substr(digits));
  for (const Unit& unit : aUnits) {
    std::int64_t product = 0;
    if (number && name == unit.mName &&
        !__builtin_mul_overflow(*number, unit.mFactor, &product)) {
      return product;
    }
  }
  return std::nullopt;
}

template<typename T>
std::optional<T> ParseEntireText(const std::string& aText)
{
  T value{};
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

bool IsNameList(const std::string& aText)
{
  const auto parts = SplitList(aText);
  return std::all_of(parts.begin(), parts.end(), [](const std::string& aPart) {
    const auto segments = SplitList(aPart, '/');
    return !segments.empty() &&
           std::all_of(segments.begin(), segments.end(), IsName);
  });
}

bool IsStageList(const std::string& aText)
{
  const auto parts = SplitList(aText);
  return std::all_of(parts.begin(), parts.end(), [](const std::string& aPart) {
    return ParseStage(aPart).has_value();
  });
}

bool IsIncreasingShareList(const std::string& aText)
{
  double previous = 0;
  for (const std::string& part : SplitList(aText)) {
    const auto share = ParseNumber(part);
    if (!share || *share <= previous || *share > 1) {
      return false;
    }
    previous = *share;
  }
  return true;
}

bool HasType(SettingType aType, const std::string& aText)
{
  switch (aType) {
    case SettingType::Text:
      return true;
    case SettingType::Name:
      return IsName(aText);
    case SettingType::NameList:
      return IsNameList(aText);
    case SettingType::YesNo:
      return ParseYesNo(aText).has_value();
    case SettingType::Secret:
      return IsHexadecimal(aText);
    case SettingType::StageList:
      return IsStageList(aText);
    case SettingType::ShareList:
      return IsIncreasingShareList(aText);
    case SettingType::VersionState:
    case SettingType::Priority:
      return WordIndex(aType, aText).has_value();
    default:
      return NumericValue(aType, aText).has_value();
  }
}

} // namespace

std::string FormatNumber(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

std::optional<double> ParseNumber(const std::string& aText)
{
  const auto value = ParseEntireText<double>(aText);
  return value && std::isfinite(*value) ? value : std::nullopt;
}

std::optional<std::int64_t> ParseInteger(const std::string& aText)
{
  return ParseEntireText<std::int64_t>(aText);
}

std::optional<std::int64_t> ParseWithUnit(const std::string& aText,
                                          const std::string& aUnit)
{
  const std::size_t digits = aText.find_first_not_of("0123456789");
  if (digits == std::string::npos || Trimmed(aText.substr(digits)) != aUnit) {
    return std::nullopt;
  }
  return ParseInteger(aText.substr(0, digits));
}

std::optional<Duration> ParseDuration(const std::string& aText)
{
  const auto nanoseconds = ParseWithAnyUnit(aText, kDurationUnits);
  return nanoseconds ? std::optional<Duration>(*nanoseconds) : std::nullopt;
}

std::optional<std::int64_t> ParseBytes(const std::string& aText)
{
  return ParseWithAnyUnit(aText, kByteUnits);
}

std::optional<double> ParseRate(const std::string& aText)
{
  const std::size_t slash = aText.find('/');
  if (slash == std::string::npos || aText.substr(slash) != "/s") {
    return std::nullopt;
  }
  return ParseNumber(Trimmed(aText.substr(0, slash)));
}

std::optional<bool> ParseYesNo(const std::string& aText)
{
  if (aText == "yes" || aText == "no") {
    return aText == "yes";
  }
  return std::nullopt;
}

std::optional<CascadeStage> ParseStage(const std::string& aText)
{
  const auto parts = SplitList(aText, '/');
  if (parts.empty() || parts.size() > 2 ||
      !std::all_of(parts.begin(), parts.end(), IsName)) {
    return std::nullopt;
  }
  return CascadeStage{ parts[0], parts.size() == 2 ? parts[1] : "" };
}

bool IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') ||
                  aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
         });
}

bool IsHexadecimal(const std::string& aText)
{
  return aText.size() % 2 == 0 &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::vector<std::string> EnumWords(SettingType aType)
{
  if (aType == SettingType::VersionState) {
    return { "serving", "retiring", "withdrawn" };
  }
  if (aType == SettingType::Priority) {
    return { "urgent", "interactive", "batch" };
  }
  return {};
}

std::optional<std::size_t> WordIndex(SettingType aType,
                                     const std::string& aText)
{
  const auto words = EnumWords(aType);
  const auto found = std::find(words.begin(), words.end(), aText);
  if (found == words.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - words.begin());
}

std::optional<double> NumericValue(SettingType aType, const std::string& aText)
{
  switch (aType) {
    case SettingType::Integer:
      return ParseInteger(aText);
    case SettingType::Share:
    case SettingType::Number:
      return ParseNumber(aText);
    case SettingType::Rate:
      return ParseRate(aText);
    case SettingType::Bytes:
      return ParseBytes(aText);
    case SettingType::Price:
      return ParseWithUnit(aText, kPriceUnit);
    case SettingType::Amount:
      return ParseWithUnit(aText, kAmountUnit);
    case SettingType::Duration: {
      const auto duration = ParseDuration(aText);
      return duration
               ? std::optional<double>(static_cast<double>(duration->count()) /
                                       kNanosecondsPerSecond)
               : std::nullopt;
    }
    default:
      return std::nullopt;
  }
}

std::string AllowedValues(SettingType aType)
{
  switch (aType) {
    case SettingType::Text:
      return "any text";
    case SettingType::Name:
      return "a name of letters, digits, '-', '_' and '.'";
    case SettingType::NameList:
      return "names separated by commas";
    case SettingType::YesNo:
      return "yes or no";
    case SettingType::Integer:
      return "a whole number without a unit";
    case SettingType::Share:
      return "a number from 0 to 1, such as 0.95";
    case SettingType::Number:
      return "a number without a unit, such as 1.3";
    case SettingType::Rate:
      return "a number per second, such as 100/s";
    case SettingType::Duration:
      return "a whole number with us, ms, s, m or h, such as 250ms";
    case SettingType::Bytes:
      return "a whole number with B, KiB or MiB, such as 64KiB";
    case SettingType::Price:
      return "a whole number with micros/Mtok, such as 150000micros/Mtok";
    case SettingType::Amount:
      return "a whole number with micros, such as 2000micros";
    case SettingType::VersionState:
    case SettingType::Priority:
      return "one of " + Joined(EnumWords(aType), ", ");
    case SettingType::Secret:
      return "an even number of hexadecimal digits in lower case";
    case SettingType::StageList:
      return "model/version or model, separated by commas";
    case SettingType::ShareList:
      return "increasing shares above 0 and up to 1, such as 0.01, 0.1, 1";
  }
  return "";
}

std::optional<std::string> FindValueError(const SettingRow& aRow,
                                          const std::string& aText)
{
  if (!HasType(aRow.mType, aText)) {
    const std::string displayedValue =
      aRow.mType == SettingType::Secret ? "the value" : "\"" + aText + "\"";
    return displayedValue + " is not allowed for " + aRow.mName +
           "; expected " + AllowedValues(aRow.mType);
  }
  const auto number = NumericValue(aRow.mType, aText);
  const bool hasBounds = aRow.mMinimum != 0 || aRow.mMaximum != 0;
  if (number && hasBounds &&
      (*number < aRow.mMinimum || *number > aRow.mMaximum)) {
    return "\"" + aText + "\" is out of range for " + aRow.mName +
           "; the range is " + FormatNumber(aRow.mMinimum) + " to " +
           FormatNumber(aRow.mMaximum) +
           (aRow.mType == SettingType::Duration ? " seconds" : "");
  }
  return std::nullopt;
}

} // namespace Acaciavale
