#pragma once

#include <Acaciavale/LibRelay/CallerRequest.h>

#include <boost/system/error_code.hpp>

/// Checks of message heads beyond those of the HTTP library.
namespace Acaciavale::Relay {

/// How the body of a message is coded for its transfer.
enum class TransferCoding
{
  None,
  Chunked,
  Unsupported, ///< Chunks of a body that is coded otherwise as well.
  Invalid,     ///< The end of the body is not known.
};

TransferCoding TransferCodingOf(const boost::beast::http::fields& aFields);

/// Returns an error if the status of the final response is not one of HTTP, or
/// if its body could not be decoded. The library takes a body with an unknown
/// transfer coding for one that is not coded and ends with the connection.
boost::system::error_code CheckResponseHead(const ResponseHead& aHead);

} // namespace Acaciavale::Relay
