#pragma once

#include <string>
#include <tl/expected.hpp>

/// Errors as return values, and macros that propagate them.
namespace Acaciavale {

/// Category of an error. Callers branch on this, never on the message.
enum class ErrorCode
{
  Invalid,        ///< The input is malformed or breaks a stated rule.
  NotFound,       ///< The requested object does not exist.
  Conflict,       ///< A compare-and-swap lost to another writer.
  Unavailable,    ///< The peer cannot be reached; nothing took effect.
  OutcomeUnknown, ///< The request may or may not have taken effect.
  DeadlineExceeded,
  Exhausted, ///< A budget, limit or queue is full.
  Forbidden,
  Internal,
};

/// An error category with a short human-readable message.
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
