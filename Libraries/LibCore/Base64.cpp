#include <Acaciavale/LibCore/Base64.h>

#include <algorithm>
#include <cstddef>
#include <openssl/evp.h>
#include <vector>

namespace Acaciavale {

namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;

} // namespace

std::string EncodeBase64Url(std::string_view aBytes)
{
  // NOTE: EVP_EncodeBlock appends a terminating null character.
  const std::size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupCharacters + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(aBytes.data()),
                  static_cast<int>(aBytes.size()));
  text.pop_back();
  while (!text.empty() && text.back() == '=') {
    text.pop_back();
  }
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> DecodeBase64Url(std::string_view aText)
{
  std::string padded(aText);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  const std::size_t remainder = padded.size() % kGroupCharacters;
  const std::size_t padding = remainder == 0 ? 0 : kGroupCharacters - remainder;
  padded.append(padding, '=');
  std::string bytes(padded.size() / kGroupCharacters * kGroupBytes, '\0');
  const int decoded =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(padded.data()),
                    static_cast<int>(padded.size()));
  if (decoded < 0 || static_cast<std::size_t>(decoded) < padding) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(decoded) - padding);
  if (EncodeBase64Url(bytes) != aText) {
    return std::nullopt;
  }
  return bytes;
}

} // namespace Acaciavale
