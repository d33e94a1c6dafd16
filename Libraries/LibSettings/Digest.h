#pragma once

#include <string>

namespace Acaciavale {

/// SHA-256 in hexadecimal.
std::string Sha256(const std::string& aText);

} // namespace Acaciavale
