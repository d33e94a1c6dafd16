#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <optional>
#include <string_view>

/// Endpoints in need, which state in their responses how many requests a second
/// they take from all VMs together.
namespace Acaciavale {

/// A limit as read from a response.
struct StatedLimit
{
  bool mIsStated = false; ///< The response has a text that states a limit.
  /// Requests a second; empty if none was stated or the text is invalid.
  std::optional<double> mPerSecond;
  /// Why the text was not taken as it is; empty if it was.
  std::string_view mProblem;

  auto operator<=>(const StatedLimit&) const = default;
};

/// A larger limit has no effect on any VM.
inline constexpr double kMaximumRequestLimit = 1e6;

/// Parses a decimal number of requests a second. A text that is not a number,
/// or is negative, states nothing; a number above kMaximumRequestLimit is
/// reduced to it.
StatedLimit ParseRequestLimit(std::string_view aText);

/// What is known of the limit of one lifetime of an endpoint.
struct RequestLimit
{
  double mPerSecond = 0;  ///< The limit stated last.
  TimePoint mStatedAt{};  ///< Time of the latest statement; zero: none.
  bool mHasEnded = false; ///< A later response stated no limit any more.

  auto operator<=>(const RequestLimit&) const = default;
};

bool IsInForce(const RequestLimit& aLimit);

/// Returns the limit after a response that was received at aNow and states
/// aPerSecond, or no limit. Earlier responses than the latest are ignored.
RequestLimit WithStatement(RequestLimit aLimit,
                           std::optional<double> aPerSecond,
                           TimePoint aNow);

} // namespace Acaciavale
