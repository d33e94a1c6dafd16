#include <Acaciavale/LibSettings/SettingsParser.h>

#include "Digest.h"

#include <openssl/crypto.h>

namespace Acaciavale {

namespace {

bool HashesMatch(const std::string& aLeft, const std::string& aRight)
{
  return !aLeft.empty() && aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::string HashKey(const std::string& aSalt, const std::string& aKey)
{
  return Sha256(aSalt + aKey);
}

bool KeyMatches(const ClientAccountSettings& aAccount, const std::string& aKey)
{
  const bool matchesCurrent =
    HashesMatch(aAccount.mKeyHash, HashKey(aAccount.mKeySalt, aKey));
  const bool matchesOld =
    HashesMatch(aAccount.mOldKeyHash, HashKey(aAccount.mOldKeySalt, aKey));
  // NOTE: Both hashes are always compared, so that the time does not reveal
  //       which one matches.
  return static_cast<int>(matchesCurrent) + static_cast<int>(matchesOld) > 0;
}

} // namespace Acaciavale
