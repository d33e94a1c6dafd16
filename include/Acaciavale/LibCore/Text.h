#pragma once

#include <string_view>

namespace Acaciavale {

/// Compares names of the wire, whose letters are those of ASCII.
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace Acaciavale
