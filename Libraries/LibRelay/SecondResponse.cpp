#include <Acaciavale/LibRelay/SecondResponse.h>

#include "BoundedParser.h"
#include "HeadCheck.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/dynamic_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cctype>
#include <limits>
#include <sstream>

namespace Acaciavale::Relay {

namespace http = boost::beast::http;

namespace {

/// Maximum size of a response head, a common limit of servers.
constexpr std::uint32_t kMaximumHeadBytes = 16384;
/// Maximum number of bytes of a body that are parsed as heads.
constexpr std::size_t kMaximumParsedBytes = 1U << 20;

constexpr std::string_view kProtocol = "HTTP/1.";
constexpr std::string_view kEndOfLine = "\r\n";
constexpr std::string_view kEndOfHead = "\r\n\r\n";
/// Number of bytes of a status line up to its status, as in "HTTP/1.1 200".
constexpr std::size_t kStatusBytes = 12;

/// Parses the bytes, as far as they go, as one response.
template<typename Body>
void ParseAll(BoundedParser<false, Body>& aParser, std::string_view aBytes)
{
  aParser.eager(true);
  aParser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code failure;
  while (!aBytes.empty() && !aParser.is_done()) {
    const std::size_t parsed = aParser.put(
      boost::asio::const_buffer(aBytes.data(), aBytes.size()), failure);
    if (failure || parsed == 0) {
      return;
    }
    aBytes.remove_prefix(parsed);
  }
}

/// Whether the bytes begin with a version and a status, as in "HTTP/1.1 200".
bool BeginsWithStatus(std::string_view aBytes)
{
  const auto isDigit = [](unsigned char aCharacter) {
    return std::isdigit(aCharacter) != 0;
  };
  const std::string_view start = aBytes.substr(0, kStatusBytes);
  return start.size() == kStatusBytes && isDigit(start[kProtocol.size()]) &&
         start[kProtocol.size() + 1] == ' ' &&
         std::all_of(start.end() - 3, start.end(), isDigit);
}

std::optional<ResponseHead> ParseHead(std::string_view aBytes)
{
  BoundedParser<false, http::empty_body> parser(kMaximumHeadBytes);
  ParseAll(parser, aBytes);
  if (!parser.is_header_done()) {
    return std::nullopt;
  }
  return parser.get().base();
}

/// Whether the bytes, which are no complete head, are the beginning of one
/// that equals aHead.
bool IsBeginningOf(const ResponseHead& aHead, std::string_view aBytes)
{
  std::ostringstream text;
  text << aHead;
  const std::string head = text.str();
  std::size_t start = aBytes.find(kEndOfLine);
  const std::string_view statusLine = aBytes.substr(0, start);
  if (statusLine.size() < kStatusBytes || !head.starts_with(statusLine)) {
    return false;
  }
  // NOTE: The order of the fields may differ.
  while (start != std::string_view::npos) {
    const std::size_t end = aBytes.find(kEndOfLine, start + 1);
    const std::string_view line = aBytes.substr(start, end - start);
    if (head.find(line) == std::string::npos) {
      return false;
    }
    start = end;
  }
  return true;
}

/// A head within bytes, or the beginning of one that the end of the bytes cuts
/// off.
struct FoundHead
{
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  bool mIsCutOff = false;
};

/// Finds the first response to the request.
std::optional<FoundHead> FindHead(std::string_view aBytes,
                                  const ResponseHead& aHead,
                                  const IsHeadOfRequest& aIsHeadOfRequest)
{
  std::size_t end = 0;
  std::size_t parsedBytes = 0;
  for (std::size_t at = aBytes.find(kProtocol);
       at != std::string_view::npos && parsedBytes < kMaximumParsedBytes;
       at = aBytes.find(kProtocol, at + 1)) {
    const std::string_view rest = aBytes.substr(at);
    if (!BeginsWithStatus(rest)) {
      continue;
    }
    if (end <= at) {
      end = aBytes.find(kEndOfHead, at);
    }
    if (end == std::string_view::npos) {
      if (rest.size() < kMaximumHeadBytes && IsBeginningOf(aHead, rest)) {
        return FoundHead{ at, aBytes.size(), true };
      }
      continue;
    }
    const std::size_t size = end + kEndOfHead.size() - at;
    if (size > kMaximumHeadBytes) {
      continue;
    }
    parsedBytes += size;
    const auto head = ParseHead(rest.substr(0, size));
    if (head && aIsHeadOfRequest(*head)) {
      return FoundHead{ at, at + size, false };
    }
  }
  return std::nullopt;
}

/// Sets the body of the response, of which aBytes were received.
void ReadBody(SecondResponse& aSecond,
              std::string_view aBytes,
              std::size_t aHeadBytes,
              const IsHeadOfRequest& aIsHeadOfRequest)
{
  // NOTE: This body reserves nothing for a length that the head states.
  BoundedParser<false, http::basic_dynamic_body<boost::beast::flat_buffer>>
    parser(kMaximumHeadBytes);
  ParseAll(parser, aBytes);
  aSecond.mHead = parser.get().base();
  if (const auto length = parser.content_length()) {
    aSecond.mStatedLength = *length;
  }
  if (parser.need_eof()) {
    const std::string_view rest = aBytes.substr(aHeadBytes);
    const auto third = FindHead(rest, *aSecond.mHead, aIsHeadOfRequest);
    aSecond.mBody =
      std::string(rest.substr(0, third ? third->mBegin : rest.size()));
    return;
  }
  const auto body = parser.get().body().cdata();
  aSecond.mBody.assign(static_cast<const char*>(body.data()), body.size());
  if (parser.chunked() && parser.is_done()) {
    aSecond.mStatedLength = aSecond.mBody.size();
  }
}

} // namespace

std::string_view Describe(FirstResponse aFirst)
{
  switch (aFirst) {
    case FirstResponse::Complete:
      return "complete";
    case FirstResponse::Incomplete:
      return "incomplete";
    case FirstResponse::Unknown:
      return "unknown";
  }
  return "unknown";
}

bool HasStatusLine(std::string_view aBytes)
{
  return aBytes.find(kProtocol) != std::string_view::npos;
}

std::optional<SecondResponse> FindSecondResponse(
  std::string_view aBytes,
  const ResponseHead& aHead,
  const IsHeadOfRequest& aIsHeadOfRequest)
{
  const auto found = FindHead(aBytes, aHead, aIsHeadOfRequest);
  if (!found) {
    return std::nullopt;
  }
  SecondResponse second;
  second.mOffset = found->mBegin;
  if (!found->mIsCutOff) {
    ReadBody(second,
             aBytes.substr(found->mBegin),
             found->mEnd - found->mBegin,
             aIsHeadOfRequest);
    if (CheckResponseHead(*second.mHead)) {
      second.mHead.reset();
    }
  }
  return second;
}

FirstResponse CompareResponses(std::string_view aFirstBody,
                               const SecondResponse& aSecond)
{
  if (!aSecond.mHead) {
    return FirstResponse::Unknown;
  }
  const bool firstGoesFurther = aFirstBody.starts_with(aSecond.mBody);
  const bool secondGoesFurther =
    std::string_view(aSecond.mBody).starts_with(aFirstBody);
  if (aSecond.mStatedLength && (firstGoesFurther || secondGoesFurther)) {
    if (aFirstBody.size() < *aSecond.mStatedLength) {
      return FirstResponse::Incomplete;
    }
    return aFirstBody.size() == *aSecond.mStatedLength ? FirstResponse::Complete
                                                       : FirstResponse::Unknown;
  }
  if (firstGoesFurther && secondGoesFurther) {
    return FirstResponse::Complete;
  }
  if (firstGoesFurther) {
    // NOTE: Without any byte of its body, the second response tells nothing.
    return aSecond.mBody.empty() ? FirstResponse::Unknown
                                 : FirstResponse::Complete;
  }
  return secondGoesFurther ? FirstResponse::Incomplete : FirstResponse::Unknown;
}

} // namespace Acaciavale::Relay
