#include "Mutation.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>
#include <utility>

namespace Acaciavale::Fuzz {

namespace {

constexpr std::uint64_t kMaximumChanges = 6;
constexpr std::size_t kMaximumInputBytes = 256U << 10;
constexpr std::uint64_t kLongRepeats = 70'000;

/// Texts at which the formats change their meaning, and values at the limits of
/// number types.
constexpr std::array<std::string_view, 36> kTokens{
  "\r\n",
  "\n",
  "\r\n\r\n",
  ":",
  " ",
  "0",
  "-1",
  "1e999",
  "1e300",
  "NaN",
  "9223372036854775807",
  "-9223372036854775808",
  "9223372036854775808",
  "18446744073709551616",
  "4294967296",
  "2147483648",
  "0.5",
  "HTTP/1.1 ",
  "Transfer-Encoding: chunked\r\n",
  "Content-Length: 0\r\n",
  "Content-Length: 18446744073709551615\r\n",
  "Expect: 100-continue\r\n",
  "Connection: close\r\n",
  "FFFFFFFFFFFFFFFF\r\n",
  "id: 1\n",
  "data: \n\n",
  "[",
  "]",
  "{\"a\":",
  "}",
  "\"",
  "\\u0000",
  "null",
  "\xff\xfe",
  "[x]\n",
  "="
};

constexpr std::array<std::string_view, 18> kNumbers{
  "0",
  "-1",
  "-0",
  "0.5",
  "1e18",
  "1e300",
  "-1e300",
  "1e999",
  "NaN",
  "inf",
  "65536",
  "2147483648",
  "4294967296",
  "9223372036854775807",
  "-9223372036854775808",
  "9223372036854775808",
  "18446744073709551615",
  "99999999999999999999999999"
};

/// Offset and size of the number at or after a place; size 0: there is none.
std::pair<std::size_t, std::size_t> FindNumber(const std::string& aText,
                                               std::size_t aFrom)
{
  constexpr std::string_view kDigits = "-.0123456789";
  const std::size_t begin = aText.find_first_of(kDigits, aFrom);
  if (begin == std::string::npos) {
    return { aText.size(), 0 };
  }
  const std::size_t end =
    std::min(aText.find_first_not_of(kDigits, begin), aText.size());
  return { begin, end - begin };
}

void ChangeOnce(std::string& aText,
                const std::vector<std::string>& aInputs,
                Random& aRandom)
{
  const std::size_t at = aRandom.Below(aText.size() + 1);
  const std::size_t left = aText.size() - at;
  const std::size_t count = left == 0 ? 0 : 1 + aRandom.Below(left);
  switch (aRandom.Below(9)) {
    case 0:
      if (left > 0) {
        aText[at] = static_cast<char>(aText[at] ^ (1 << aRandom.Below(8)));
      }
      break;
    case 1:
      aText.insert(at, 1, static_cast<char>(aRandom.Next()));
      break;
    case 2:
      aText.erase(at, std::min<std::size_t>(count, 1 + aRandom.Below(16)));
      break;
    case 3:
      aText.erase(at, count);
      break;
    case 4:
      aText.insert(at, kTokens[aRandom.Below(kTokens.size())]);
      break;
    case 5:
      aText.insert(aRandom.Below(aText.size() + 1), aText.substr(at, count));
      break;
    case 6: {
      const std::string& other = aInputs[aRandom.Below(aInputs.size())];
      const std::size_t from = aRandom.Below(other.size() + 1);
      aText.replace(at, std::string::npos, other.substr(from));
      break;
    }
    case 7: {
      const auto [begin, size] = FindNumber(aText, at);
      aText.replace(begin, size, kNumbers[aRandom.Below(kNumbers.size())]);
      break;
    }
    default: {
      const std::string_view token = kTokens[aRandom.Below(kTokens.size())];
      const bool isLong = aRandom.Below(32) == 0;
      const std::uint64_t repeats =
        1 + aRandom.Below(isLong ? kLongRepeats : 64);
      std::string text;
      for (std::uint64_t repeat = 0; repeat < repeats; ++repeat) {
        text += token;
      }
      aText.insert(at, text);
    }
  }
}

} // namespace

std::vector<std::string> WithExtremeNumbers(const std::string& aInput)
{
  std::vector<std::string> inputs;
  std::size_t from = 0;
  for (auto [begin, size] = FindNumber(aInput, 0); size > 0;
       std::tie(begin, size) = FindNumber(aInput, from)) {
    for (const std::string_view number : kNumbers) {
      inputs.push_back(aInput);
      inputs.back().replace(begin, size, number);
    }
    from = begin + size;
  }
  return inputs;
}

std::string Mutate(const std::vector<std::string>& aInputs, Random& aRandom)
{
  std::string text = aInputs[aRandom.Below(aInputs.size())];
  const std::uint64_t changes = 1 + aRandom.Below(kMaximumChanges);
  for (std::uint64_t change = 0; change < changes; ++change) {
    ChangeOnce(text, aInputs, aRandom);
  }
  text.resize(std::min(text.size(), kMaximumInputBytes));
  return text;
}

} // namespace Acaciavale::Fuzz
