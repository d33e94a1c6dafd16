#pragma once

#include <string>
#include <vector>

/// Small helpers on text.
namespace Acaciavale {

std::string Trimmed(const std::string& aText);

/// The trimmed parts between the separators; none for a blank text.
std::vector<std::string> SplitList(const std::string& aText,
                                   char aSeparator = ',');

std::string Joined(const std::vector<std::string>& aParts,
                   const std::string& aSeparator);

/// Whether it holds a control character other than a tab or a line end, which
/// could forge lines or steer a terminal.
bool HasControlCharacter(const std::string& aText);

/// How many bytes from the start are whole, valid UTF-8.
std::size_t ValidUtf8Length(const std::string& aText);

/// The name nearest by edits, or an empty text where none is near.
std::string NearestName(const std::string& aName,
                        const std::vector<std::string>& aKnown);

/// "; did you mean NAME?" or nothing.
std::string Suggestion(const std::string& aName,
                       const std::vector<std::string>& aKnown);

} // namespace Acaciavale
