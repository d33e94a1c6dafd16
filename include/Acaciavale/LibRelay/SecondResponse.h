#pragma once

#include <Acaciavale/LibRelay/CallerRequest.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Detection of a second response to the same request. A body that has neither
/// a length nor chunks ends with its connection, so whatever an endpoint sends
/// behind it looks like a part of it.
namespace Acaciavale::Relay {

/// Number of bytes of a stream that are kept to compare them with a second
/// response.
constexpr std::size_t kMaximumComparedBytes = 256U << 10;

struct SecondResponse
{
  std::size_t mOffset = 0; ///< Its first byte, from the start of the body.
  /// Its head; missing if only the beginning of the head was received, or if
  /// the head is not valid.
  std::optional<ResponseHead> mHead;
  /// Length of its body in bytes, if its head states one.
  std::optional<std::uint64_t> mStatedLength;
  std::string mBody; ///< What was received of its body, without chunk headers.
};

/// What a second response tells about the first one.
enum class FirstResponse
{
  Complete,
  Incomplete,
  Unknown, ///< The responses differ, or too little of the second is known.
};

std::string_view Describe(FirstResponse aFirst);

/// Whether the bytes hold what a response begins with.
bool HasStatusLine(std::string_view aBytes);

/// Whether a head is that of a response to the request of the body.
using IsHeadOfRequest = std::function<bool(const ResponseHead&)>;

/// Searches the bytes that followed aHead, until the connection was closed, for
/// a second response. Text that only quotes a response to another request is
/// none. A head that the end of the bytes cuts off is one if what there is of
/// it equals aHead.
std::optional<SecondResponse> FindSecondResponse(
  std::string_view aBytes,
  const ResponseHead& aHead,
  const IsHeadOfRequest& aIsHeadOfRequest);

/// Compares the body of the first response with the second one, whose
/// connection was closed without an error.
FirstResponse CompareResponses(std::string_view aFirstBody,
                               const SecondResponse& aSecond);

} // namespace Acaciavale::Relay
