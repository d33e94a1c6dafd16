#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Texts from outside whose memory is counted, so that it has to be known.
namespace Acaciavale::Relay {

/// Gives the text at least the capacity, and no more than that if it has less.
/// std::string::reserve may double the memory of a text instead.
void ReserveExactly(std::string& aText, std::size_t aCapacity);

/// Appends the bytes. A large text grows in steps.
void AppendInSteps(std::string& aText, std::string_view aBytes);

} // namespace Acaciavale::Relay
