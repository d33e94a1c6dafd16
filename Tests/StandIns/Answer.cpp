#include "Answer.h"

#include "Truth.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Acaciavale::StandIns {

namespace {

constexpr int kLeastTokens = 3;
constexpr const char* kReferenceMark = "ref-";

constexpr std::array<const char*, 8> kWords{
  "valid", "exit", "tile", "crew", "basin", "review", "date", "drill"
};

bool IsReferenceLetter(char aLetter)
{
  return std::isalnum(static_cast<unsigned char>(aLetter)) != 0 ||
         aLetter == '-';
}

} // namespace

std::vector<std::string> AnswerTokens(const AnswerQuery& aQuery)
{
  Random random(
    Mixed(aQuery.mSeed, aQuery.mRequest + VersionPart(aQuery.mVersion)));
  const auto least =
    static_cast<std::uint64_t>(std::max(kLeastTokens, aQuery.mMaxTokens / 2));
  const auto most =
    static_cast<std::uint64_t>(std::max(kLeastTokens, aQuery.mMaxTokens));
  const std::uint64_t count = least + random.Below(most - least + 1);
  std::vector<std::string> tokens{ aQuery.mRequest };
  while (tokens.size() < count - 1) {
    tokens.push_back(std::string(" ") + kWords[random.Below(kWords.size())]);
  }
  tokens.push_back(" end-of " + aQuery.mRequest);
  return tokens;
}

std::string AnswerText(const AnswerQuery& aQuery)
{
  std::string text;
  for (const std::string& token : AnswerTokens(aQuery)) {
    text += token;
  }
  return text;
}

std::string ReferenceIn(const std::string& aText)
{
  const std::size_t mark = aText.find(kReferenceMark);
  if (mark == std::string::npos) {
    return "";
  }
  const auto from = aText.begin() + static_cast<std::ptrdiff_t>(mark);
  return { from, std::find_if_not(from, aText.end(), IsReferenceLetter) };
}

} // namespace Acaciavale::StandIns
