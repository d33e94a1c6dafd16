#include <Acaciavale/LibSettings/SettingsReader.h>

#include "Digest.h"

#include <openssl/crypto.h>

namespace Acaciavale {

namespace {

bool SameHash(const std::string& aLeft, const std::string& aRight)
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
  const bool isNew =
    SameHash(aAccount.mKeyHash, HashKey(aAccount.mKeySalt, aKey));
  const bool isOld =
    SameHash(aAccount.mOldKeyHash, HashKey(aAccount.mOldKeySalt, aKey));
  // NOTE: Both are worked out always, so that the time tells nothing.
  return static_cast<int>(isNew) + static_cast<int>(isOld) > 0;
}

} // namespace Acaciavale
