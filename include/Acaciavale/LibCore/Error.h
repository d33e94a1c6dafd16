#pragma once

#include <string>
#include <tl/expected.hpp>

/// Errors as values, and the macro that hands them on.
namespace Acaciavale {

/// What kind of thing went wrong; callers branch on this, never on the text.
enum class ErrorCode
{
  Invalid,        ///< The input is malformed or breaks a stated rule.
  NotFound,       ///< The named thing does not exist.
  Conflict,       ///< A compare-and-swap lost to another writer.
  Unavailable,    ///< The other side cannot be reached; nothing took effect.
  OutcomeUnknown, ///< The request may or may not have taken effect.
  DeadlineExceeded,
  Exhausted, ///< A budget, limit or queue is full.
  Forbidden,
  Internal,
};

/// A typed error with one short sentence for people.
struct Error
{
  ErrorCode mCode = ErrorCode::Internal;
  std::string mMessage;

  bool operator==(const Error&) const = default;
};

template<typename T>
using ErrorOr = tl::expected<T, Error>;

inline tl::unexpected<Error> MakeError(ErrorCode aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

} // namespace Acaciavale

/// Evaluates to the value of an ErrorOr, or returns its error from the
/// enclosing function.
#define ACACIAVALE_TRY(aExpression)                                            \
  ({                                                                           \
    auto&& tryResult = (aExpression);                                          \
    if (!tryResult) {                                                          \
      return tl::make_unexpected(std::move(tryResult).error());                \
    }                                                                          \
    std::move(tryResult).value();                                              \
  })

/// Returns the error of an ErrorOr<void> from the enclosing function.
#define ACACIAVALE_TRY_VOID(aExpression)                                       \
  do {                                                                         \
    auto&& tryResult = (aExpression);                                          \
    if (!tryResult) {                                                          \
      return tl::make_unexpected(std::move(tryResult).error());                \
    }                                                                          \
  } while (false)
