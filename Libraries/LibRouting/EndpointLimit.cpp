#include <Acaciavale/LibRouting/EndpointLimit.h>

#include <charconv>
#include <cmath>

namespace Acaciavale {

StatedLimit ParseRequestLimit(std::string_view aText)
{
  double perSecond = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, perSecond, std::chars_format::fixed);
  if (parsed.ptr != end || parsed.ec == std::errc::invalid_argument ||
      std::isnan(perSecond) || std::isinf(perSecond)) {
    return { true, std::nullopt, "it is not a decimal number" };
  }
  if (std::signbit(perSecond) && perSecond != 0) {
    return { true, std::nullopt, "it is negative" };
  }
  if (parsed.ec == std::errc::result_out_of_range ||
      perSecond > kMaximumRequestLimit) {
    return { true, kMaximumRequestLimit, "it is larger than allowed" };
  }
  return { true, std::abs(perSecond), {} };
}

bool IsInForce(const RequestLimit& aLimit)
{
  return aLimit.mStatedAt != TimePoint{} && !aLimit.mHasEnded;
}

RequestLimit WithStatement(RequestLimit aLimit,
                           std::optional<double> aPerSecond,
                           TimePoint aNow)
{
  if (aNow < aLimit.mStatedAt || (!aPerSecond && !IsInForce(aLimit))) {
    return aLimit;
  }
  return { aPerSecond.value_or(aLimit.mPerSecond),
           aNow,
           !aPerSecond.has_value() };
}

} // namespace Acaciavale
