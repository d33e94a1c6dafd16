#include <Acaciavale/LibCore/Base64.h>
#include <Acaciavale/LibSession/SessionToken.h>

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <optional>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr char kSeparator = '.';
constexpr int kHexBase = 16;
/// Minimum length that makes a brute-force search for the key infeasible.
constexpr std::size_t kMinKeyBytes = 16;
/// Number of bits that a double represents exactly.
constexpr int kPositionBits = 53;

std::optional<int> HexDigit(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  return std::nullopt;
}

/// Returns nothing if the key is missing, too short or not hexadecimal. Anyone
/// could forge tokens that are signed with an empty key.
std::optional<std::string> DecodeKey(const std::string& aHex)
{
  if (aHex.size() % 2 != 0 || aHex.size() / 2 < kMinKeyBytes) {
    return std::nullopt;
  }
  std::string key;
  for (std::size_t index = 0; index < aHex.size(); index += 2) {
    const auto high = HexDigit(aHex[index]);
    const auto low = HexDigit(aHex[index + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    key.push_back(static_cast<char>(*high * kHexBase + *low));
  }
  return key;
}

std::string Signature(const std::string& aKey, std::string_view aPayload)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aPayload.data()),
       aPayload.size(),
       digest.data(),
       &length);
  return { reinterpret_cast<const char*>(digest.data()), length };
}

bool SignatureMatches(const std::string& aHexKey,
                      std::string_view aPayload,
                      const std::string& aSignature)
{
  const auto key = DecodeKey(aHexKey);
  if (!key) {
    return false;
  }
  const std::string expected = Signature(*key, aPayload);
  return expected.size() == aSignature.size() &&
         CRYPTO_memcmp(expected.data(), aSignature.data(), expected.size()) ==
           0;
}

std::string EncodePayload(const Session& aSession)
{
  Json versions = Json::array();
  for (const CascadeStage& stage : aSession.mVersions) {
    versions.push_back({ stage.mModel, stage.mVersion });
  }
  const Json payload = { { "id", aSession.mId },
                         { "account", aSession.mAccount },
                         { "versions", versions },
                         { "issued", aSession.mIssuedAt.count() } };
  return payload.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Throws a Json exception if a member is missing or has the wrong type.
Session ParsePayload(const std::string& aPayload)
{
  const Json payload = Json::parse(aPayload);
  Session session;
  payload.at("id").get_to(session.mId);
  payload.at("account").get_to(session.mAccount);
  session.mIssuedAt =
    UnixMilliseconds(payload.at("issued").get<std::int64_t>());
  for (const Json& version : payload.at("versions")) {
    session.mVersions.push_back(
      { version.at(0).get<std::string>(), version.at(1).get<std::string>() });
  }
  return session;
}

ErrorOr<Session> DecodePayload(std::string_view aText)
{
  const auto payload = DecodeBase64Url(aText);
  if (!payload) {
    return MakeError(ErrorCode::Invalid, "The session token is malformed.");
  }
  try {
    return ParsePayload(*payload);
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::Invalid, "The session token is malformed.");
  }
}

} // namespace

std::string SignSession(const Session& aSession,
                        const DeploymentSettings& aDeployment)
{
  const auto key = DecodeKey(aDeployment.mSessionKey);
  if (!key) {
    return {};
  }
  const std::string payload = EncodeBase64Url(EncodePayload(aSession));
  std::string token =
    payload + kSeparator + EncodeBase64Url(Signature(*key, payload));
  if (token.size() > kMaxTokenBytes) {
    return {};
  }
  return token;
}

ErrorOr<Session> VerifySession(const std::string& aToken,
                               const std::string& aAccount,
                               const DeploymentSettings& aDeployment)
{
  if (aToken.size() > kMaxTokenBytes) {
    return MakeError(ErrorCode::Invalid, "The session token is too long.");
  }
  const std::size_t separator = aToken.find(kSeparator);
  if (separator == std::string::npos) {
    return MakeError(ErrorCode::Invalid, "The session token is malformed.");
  }
  const std::string_view token(aToken);
  const std::string_view payload = token.substr(0, separator);
  const auto signature = DecodeBase64Url(token.substr(separator + 1));
  if (!signature) {
    return MakeError(ErrorCode::Invalid, "The session token is malformed.");
  }
  if (!SignatureMatches(aDeployment.mSessionKey, payload, *signature) &&
      !SignatureMatches(aDeployment.mOldSessionKey, payload, *signature)) {
    return MakeError(ErrorCode::Invalid,
                     "The session token was not signed by this deployment.");
  }
  Session session = ACACIAVALE_TRY(DecodePayload(payload));
  if (session.mAccount != aAccount) {
    return MakeError(ErrorCode::Forbidden,
                     "The session token belongs to another client account.");
  }
  return session;
}

std::string SessionVersion(const Session& aSession, const std::string& aModel)
{
  for (const CascadeStage& stage : aSession.mVersions) {
    if (stage.mModel == aModel) {
      return stage.mVersion;
    }
  }
  return {};
}

Session WithVersion(const Session& aSession, const CascadeStage& aVersion)
{
  Session session = aSession;
  for (CascadeStage& stage : session.mVersions) {
    if (stage.mModel == aVersion.mModel) {
      stage.mVersion = aVersion.mVersion;
      return session;
    }
  }
  session.mVersions.push_back(aVersion);
  return session;
}

double RolloutPosition(const Session& aSession)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aSession.mId.data()),
         aSession.mId.size(),
         digest.data());
  std::uint64_t bits = 0;
  for (std::size_t byte = 0; byte < sizeof(bits); ++byte) {
    bits = bits << 8 | digest[byte];
  }
  return static_cast<double>(bits >> (64 - kPositionBits)) /
         static_cast<double>(1ULL << kPositionBits);
}

} // namespace Acaciavale
