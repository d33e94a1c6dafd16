#include "Digest.h"

#include <array>
#include <openssl/sha.h>

namespace Acaciavale {

std::string Sha256(const std::string& aText)
{
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  // NOTE: OpenSSL takes bytes as unsigned char.
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         hash.data());
  std::string text;
  for (const unsigned char byte : hash) {
    text.push_back(kHexDigits[byte >> 4]);
    text.push_back(kHexDigits[byte & 15]);
  }
  return text;
}

} // namespace Acaciavale
