#include "ClaimRecord.h"

#include <Acaciavale/LibCore/Base64.h>

#include <array>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr std::array kStateNames{ "running", "done", "unknown" };

ClaimState ParseState(const std::string& aName)
{
  if (aName == kStateNames[0]) {
    return ClaimState::Running;
  }
  // NOTE: An unrecognized state may come from a newer version of this program.
  //       It is read as Unknown, with which the call never runs again.
  return aName == kStateNames[1] ? ClaimState::Done : ClaimState::Unknown;
}

/// Throws Json::exception if a member is missing or has the wrong type.
ClaimRecord ParseClaim(const std::string& aValue)
{
  const Json json = Json::parse(aValue);
  ClaimRecord record;
  json.at("nonce").get_to(record.mNonce);
  json.at("vm").get_to(record.mVm);
  json.at("digest").get_to(record.mRequestDigest);
  record.mState = ParseState(json.at("state").get<std::string>());
  record.mAcquiredAt = UnixMilliseconds(json.at("taken").get<std::int64_t>());
  json.at("lease").get_to(record.mLease);
  if (record.mState == ClaimState::Done) {
    json.at("status").get_to(record.mResponse.mStatus);
    json.at("type").get_to(record.mResponse.mContentType);
    // NOTE: Bodies are arbitrary bytes, which a JSON string cannot hold.
    const auto body = DecodeBase64Url(json.at("body").get<std::string>());
    record.mResponse.mBody = body.value_or("");
  }
  return record;
}

} // namespace

std::string EncodeClaim(const ClaimRecord& aRecord)
{
  Json json = { { "nonce", aRecord.mNonce },
                { "vm", aRecord.mVm },
                { "digest", aRecord.mRequestDigest },
                { "state",
                  kStateNames[static_cast<std::size_t>(aRecord.mState)] },
                { "taken", aRecord.mAcquiredAt.count() },
                { "lease", aRecord.mLease } };
  if (aRecord.mState == ClaimState::Done) {
    json["status"] = aRecord.mResponse.mStatus;
    json["type"] = aRecord.mResponse.mContentType;
    json["body"] = EncodeBase64Url(aRecord.mResponse.mBody);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRecord> DecodeClaim(const std::string& aValue)
{
  try {
    return ParseClaim(aValue);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace Acaciavale
