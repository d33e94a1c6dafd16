#pragma once

#include <string>

namespace Acaciavale {

/// Returns the SHA-256 of the text in hexadecimal.
std::string Sha256(const std::string& aText);

} // namespace Acaciavale
