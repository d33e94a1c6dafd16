#pragma once

#include <Acaciavale/LibRelay/CallerRequest.h>

#include <boost/system/error_code.hpp>

/// Checks of message heads beyond those of the HTTP library.
namespace Acaciavale::Relay {

/// Returns an error if the status of the final response is not one of HTTP.
boost::system::error_code CheckResponseHead(const ResponseHead& aHead);

} // namespace Acaciavale::Relay
