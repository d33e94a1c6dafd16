#pragma once

#include <string_view>

namespace Acaciavale {

/// Compares ASCII texts, such as the names of header fields.
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace Acaciavale
