#include "Answer.h"

#include "AnswerQuality.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Acaciavale::StandIns {

namespace {

constexpr int kMinTokens = 3;
constexpr const char* kReferencePrefix = "ref-";

constexpr std::array<const char*, 8> kWords{
  "valid", "exit", "tile", "crew", "basin", "review", "date", "drill"
};

bool IsReferenceCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '-';
}

} // namespace

std::vector<std::string> AnswerTokens(const AnswerParameters& aParameters)
{
  Random random(HashWithSeed(aParameters.mSeed,
                             aParameters.mRequestId +
                               VersionFaultTarget(aParameters.mVersion)));
  const auto minimum = static_cast<std::uint64_t>(
    std::max(kMinTokens, aParameters.mMaxTokens / 2));
  const auto maximum =
    static_cast<std::uint64_t>(std::max(kMinTokens, aParameters.mMaxTokens));
  const std::uint64_t count = minimum + random.Below(maximum - minimum + 1);
  std::vector<std::string> tokens{ aParameters.mRequestId };
  while (tokens.size() < count - 1) {
    tokens.push_back(std::string(" ") + kWords[random.Below(kWords.size())]);
  }
  tokens.push_back(" end-of " + aParameters.mRequestId);
  return tokens;
}

std::string AnswerText(const AnswerParameters& aParameters)
{
  std::string text;
  for (const std::string& token : AnswerTokens(aParameters)) {
    text += token;
  }
  return text;
}

std::string FindReference(const std::string& aText)
{
  const std::size_t position = aText.find(kReferencePrefix);
  if (position == std::string::npos) {
    return "";
  }
  const auto begin = aText.begin() + static_cast<std::ptrdiff_t>(position);
  return { begin, std::find_if_not(begin, aText.end(), IsReferenceCharacter) };
}

} // namespace Acaciavale::StandIns
