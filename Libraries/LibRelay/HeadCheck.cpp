#include "HeadCheck.h"

#include <boost/beast/http/error.hpp>

namespace Acaciavale::Relay {

namespace http = boost::beast::http;

namespace {

/// RFC 9110, section 15: the first and the last valid status.
constexpr unsigned kMinimumStatus = 100;
constexpr unsigned kMaximumStatus = 599;

} // namespace

boost::system::error_code CheckResponseHead(const ResponseHead& aHead)
{
  const unsigned status = aHead.result_int();
  if (status < kMinimumStatus || status > kMaximumStatus) {
    return http::make_error_code(http::error::bad_status);
  }
  return {};
}

} // namespace Acaciavale::Relay
