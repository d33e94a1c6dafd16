#pragma once

#include <string>
#include <vector>

/// Text utilities.
namespace Acaciavale {

std::string Trimmed(const std::string& aText);

/// Returns the trimmed parts between the separators; empty for a blank text.
std::vector<std::string> SplitList(const std::string& aText,
                                   char aSeparator = ',');

std::string Joined(const std::vector<std::string>& aParts,
                   const std::string& aSeparator);

/// Returns whether the text contains a control character other than a tab or a
/// line ending. Such a character could forge output lines or control a
/// terminal.
bool HasControlCharacter(const std::string& aText);

/// Returns the number of bytes from the start that are complete, valid UTF-8.
std::size_t ValidUtf8Length(const std::string& aText);

/// Returns the known name with the smallest edit distance, or an empty text if
/// none is close.
std::string NearestName(const std::string& aName,
                        const std::vector<std::string>& aKnown);

/// Returns "; did you mean NAME?", or an empty text if no known name is close.
std::string Suggestion(const std::string& aName,
                       const std::vector<std::string>& aKnown);

} // namespace Acaciavale
