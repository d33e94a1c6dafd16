#pragma once

#include <string>

namespace Acaciavale::Relay {

/// Whether a connection to the text can be attempted: an IP address of a single
/// machine and a port from 1 to 65535, as in "10.0.0.1:80".
bool IsUsableAddress(const std::string& aText);

} // namespace Acaciavale::Relay
