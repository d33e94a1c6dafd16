#include "HeadCheck.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cstddef>
#include <iterator>

namespace Acaciavale::Relay {

namespace http = boost::beast::http;

namespace {

constexpr boost::beast::string_view kChunked = "chunked";
/// RFC 9110, section 15: the first and the last valid status.
constexpr unsigned kMinimumStatus = 100;
constexpr unsigned kMaximumStatus = 599;

} // namespace

TransferCoding TransferCodingOf(const http::fields& aFields)
{
  const auto [first, last] =
    aFields.equal_range(http::field::transfer_encoding);
  if (first == last) {
    return TransferCoding::None;
  }
  const bool isOnlyChunked =
    std::next(first) == last && boost::beast::iequals(first->value(), kChunked);
  if (isOnlyChunked) {
    return TransferCoding::Chunked;
  }
  std::size_t chunkedCount = 0;
  bool isLastChunked = false;
  for (auto field = first; field != last; ++field) {
    const http::opt_token_list codings(field->value());
    if (!http::validate_list(codings)) {
      return TransferCoding::Invalid;
    }
    for (const auto coding : codings) {
      isLastChunked = boost::beast::iequals(coding, kChunked);
      chunkedCount += isLastChunked ? 1 : 0;
    }
  }
  return isLastChunked && chunkedCount == 1 ? TransferCoding::Unsupported
                                            : TransferCoding::Invalid;
}

boost::system::error_code CheckResponseHead(const ResponseHead& aHead)
{
  const unsigned status = aHead.result_int();
  if (status < kMinimumStatus || status > kMaximumStatus) {
    return http::make_error_code(http::error::bad_status);
  }
  const TransferCoding coding = TransferCodingOf(aHead);
  if (coding != TransferCoding::None && coding != TransferCoding::Chunked) {
    return http::make_error_code(http::error::bad_transfer_encoding);
  }
  return {};
}

} // namespace Acaciavale::Relay
