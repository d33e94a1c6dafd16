#include <Acaciavale/LibRelay/Address.h>

#include "SocketOptions.h"

namespace Acaciavale::Relay {

namespace {

/// Longest text of an IPv6 address with the name of its interface and a port.
constexpr std::size_t kMaximumAddressBytes = 72;

} // namespace

bool IsUsableAddress(const std::string& aText)
{
  if (aText.size() > kMaximumAddressBytes) {
    return false;
  }
  const auto address = ParseAddress(aText);
  return address && address->port() > 0 &&
         !address->address().is_unspecified() &&
         !address->address().is_multicast();
}

} // namespace Acaciavale::Relay
