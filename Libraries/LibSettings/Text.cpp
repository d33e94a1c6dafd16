#include "Text.h"

#include <algorithm>
#include <numeric>

namespace Acaciavale {

namespace {

constexpr const char* kWhitespace = " \t\r\n";

std::size_t EditDistance(const std::string& aLeft, const std::string& aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t left = 1; left <= aLeft.size(); ++left) {
    std::size_t diagonal = row[0];
    row[0] = left;
    for (std::size_t right = 1; right <= aRight.size(); ++right) {
      const std::size_t above = row[right];
      const std::size_t replaced =
        diagonal + (aLeft[left - 1] == aRight[right - 1] ? 0 : 1);
      row[right] = std::min({ above + 1, row[right - 1] + 1, replaced });
      diagonal = above;
    }
  }
  return row.back();
}

/// Returns the number of bytes of the UTF-8 sequence at aStart, or 0 if it is
/// invalid.
std::size_t SequenceLength(const std::string& aText, std::size_t aStart)
{
  const auto byte = [&](std::size_t aOffset) {
    return aStart + aOffset < aText.size()
             ? static_cast<unsigned char>(aText[aStart + aOffset])
             : 0U;
  };
  const unsigned first = byte(0);
  const auto continues = [&](std::size_t aOffset) {
    return (byte(aOffset) & 0xc0U) == 0x80U;
  };
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xc2 && first <= 0xdf) {
    return continues(1) ? 2 : 0;
  }
  if (first >= 0xe0 && first <= 0xef) {
    const bool isOverlong = first == 0xe0 && byte(1) < 0xa0;
    const bool isSurrogate = first == 0xed && byte(1) > 0x9f;
    return continues(1) && continues(2) && !isOverlong && !isSurrogate ? 3 : 0;
  }
  if (first >= 0xf0 && first <= 0xf4) {
    const bool isOverlong = first == 0xf0 && byte(1) < 0x90;
    const bool isOutOfRange = first == 0xf4 && byte(1) > 0x8f;
    const bool isComplete = continues(1) && continues(2) && continues(3);
    return isComplete && !isOverlong && !isOutOfRange ? 4 : 0;
  }
  return 0;
}

} // namespace

std::string Trimmed(const std::string& aText)
{
  const std::size_t start = aText.find_first_not_of(kWhitespace);
  if (start == std::string::npos) {
    return "";
  }
  return aText.substr(start, aText.find_last_not_of(kWhitespace) - start + 1);
}

std::vector<std::string> SplitList(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  if (Trimmed(aText).empty()) {
    return parts;
  }
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t end =
      std::min(aText.find(aSeparator, start), aText.size());
    parts.push_back(Trimmed(aText.substr(start, end - start)));
    start = end + 1;
  }
  return parts;
}

std::string Joined(const std::vector<std::string>& aParts,
                   const std::string& aSeparator)
{
  std::string text;
  for (const std::string& part : aParts) {
    text += text.empty() ? part : aSeparator + part;
  }
  return text;
}

bool HasControlCharacter(const std::string& aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    const bool isAllowed = byte == '\t' || byte == '\r' || byte == '\n';
    return (byte < 0x20 && !isAllowed) || byte == 0x7f;
  });
}

std::size_t ValidUtf8Length(const std::string& aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t length = SequenceLength(aText, at);
    if (length == 0) {
      return at;
    }
    at += length;
  }
  return at;
}

std::string NearestName(const std::string& aName,
                        const std::vector<std::string>& aKnown)
{
  std::string nearest;
  std::size_t distanceLimit = aName.size() / 3 + 2;
  for (const std::string& known : aKnown) {
    const std::size_t distance = EditDistance(aName, known);
    if (distance < distanceLimit) {
      distanceLimit = distance;
      nearest = known;
    }
  }
  return nearest;
}

std::string Suggestion(const std::string& aName,
                       const std::vector<std::string>& aKnown)
{
  const std::string nearest = NearestName(aName, aKnown);
  return nearest.empty() ? "" : "; did you mean " + nearest + "?";
}

} // namespace Acaciavale
