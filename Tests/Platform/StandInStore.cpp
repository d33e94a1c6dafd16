#include "StandInPlatform.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace Acaciavale::Platform::StandIns {

using Json = nlohmann::json;
using namespace Relay;

namespace {

/// Limits of a page of the store.
constexpr std::size_t kMaximumPageEntries = 500;
constexpr std::size_t kMaximumPageBytes = 1U << 20;

/// Returns the value of a query parameter; empty if there is none.
std::string QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t begin = aTarget.find(aName + '=');
  if (begin == std::string::npos) {
    return {};
  }
  const std::string value = aTarget.substr(begin + aName.size() + 1);
  return value.substr(0, value.find('&'));
}

std::string EncodeBase64(const std::string& aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  text.resize(static_cast<std::size_t>(
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()))));
  return text;
}

std::string DecodeBase64(const std::string& aText)
{
  std::string bytes(aText.size(), '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  bytes.resize(
    static_cast<std::size_t>(size) -
    static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '=')));
  return bytes;
}

} // namespace

Store::Store(boost::asio::io_context& aIoContext)
  : mIoContext(aIoContext)
  , mListener(aIoContext,
              "127.0.0.1:0",
              { [this](const auto& aSession) { Serve(aSession); },
                [] { return RequestBounds{}; },
                [] { return false; } })
{
}

void Store::Put(const std::string& aKey, const std::string& aValue)
{
  mItems[aKey] = { aValue, ++mRevision, 0 };
}

void Store::Remove(const std::string& aKey)
{
  mItems.erase(aKey);
  ++mRevision;
}

std::optional<std::string> Store::Value(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? std::nullopt
                               : std::optional(found->second.mValue);
}

std::int64_t Store::LeaseOf(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? 0 : found->second.mLeaseId;
}

void Store::SaveCopy()
{
  mCopiedItems = mItems;
  std::erase_if(mCopiedItems,
                [](const auto& aItem) { return aItem.second.mLeaseId != 0; });
  mCopiedRevision = mRevision;
}

void Store::ReturnFromCopy()
{
  mItems = mCopiedItems;
  mRevision = mCopiedRevision;
  mLastLeaseId = 0;
  mEra += 1;
  mEraHeader = std::to_string(mEra);
}

void Store::Respond(ClientSession& aSession,
                    unsigned aStatus,
                    const std::string& aBody) const
{
  ResponseHead head = MakeHead(aStatus);
  if (!mEraHeader.empty()) {
    head.set("Store-Era", mEraHeader);
  }
  aSession.Send(std::move(head), aBody);
}

void Store::Serve(const std::shared_ptr<ClientSession>& aSession)
{
  ++mCallCount;
  const auto& request = aSession->OpenRequest();
  const std::string target(request.target());
  if (mMode == Mode::Unresponsive) {
    mHeldSessions.push_back(aSession);
    return;
  }
  if (mMode == Mode::Unavailable) {
    Respond(*aSession, 503, "{}");
  } else if (target.starts_with("/api/kv-range?")) {
    const auto delay =
      std::make_shared<boost::asio::steady_timer>(mIoContext, mReadDelay);
    delay->async_wait(
      [this, delay, aSession, target](const boost::system::error_code&) {
        HandleRange(aSession,
                    QueryParameter(target, "path-prefix"),
                    QueryParameter(target, "after"));
      });
  } else if (target == "/api/kv-txn") {
    HandleTransaction(*aSession);
  } else if (target == "/api/kv-lease") {
    const Json body = Json::parse(*aSession->OpenBody());
    aSession->Send(
      MakeHead(200),
      Json{ { "lease", ++mLastLeaseId }, { "ttl-ms", body["ttl-ms"] } }.dump());
  } else if (target.starts_with("/api/kv-keep/")) {
    Respond(*aSession, 200, R"({"ttl-ms":3000})");
  } else if (target.starts_with("/api/kv-lease-end/")) {
    const std::int64_t lease = std::stoll(target.substr(18));
    mRevision += static_cast<std::int64_t>(
      std::erase_if(mItems, [lease](const auto& aItem) {
        return aItem.second.mLeaseId == lease;
      }));
    Respond(*aSession, 200, "{}");
  } else {
    Respond(*aSession, 400, "{}");
  }
}

void Store::HandleRange(const std::shared_ptr<ClientSession>& aSession,
                        const std::string& aPrefix,
                        const std::string& aAfterKey)
{
  Json entries = Json::array();
  bool isTruncated = false;
  std::size_t bytes = 0;
  for (const auto& [key, item] : mItems) {
    if (!key.starts_with(aPrefix) || key <= aAfterKey) {
      continue;
    }
    if (entries.size() == kMaximumPageEntries || bytes > kMaximumPageBytes) {
      isTruncated = true;
      break;
    }
    if (key == mHeldKey) {
      mHeldSessions.push_back(aSession);
      return;
    }
    bytes += item.mValue.size();
    entries.push_back({ { "key", key },
                        { "value", EncodeBase64(item.mValue) },
                        { "revision", item.mRevision },
                        { "created", item.mRevision },
                        { "lease", item.mLeaseId } });
  }
  Respond(*aSession,
          200,
          Json{ { "entries", entries },
                { "truncated", isTruncated },
                { "as-of", mRevision } }
            .dump());
}

void Store::HandleTransaction(ClientSession& aSession)
{
  const Json body = Json::parse(*aSession.OpenBody());
  for (const Json& condition : body["precondition"]) {
    const auto found = mItems.find(condition["key"].get<std::string>());
    const std::int64_t revision =
      found == mItems.end() ? 0 : found->second.mRevision;
    if (revision != condition["revision"].get<std::int64_t>()) {
      Respond(aSession, 412, R"({"entries":[]})");
      return;
    }
  }
  ++mRevision;
  for (const Json& put : body["puts"]) {
    mItems[put["key"].get<std::string>()] = {
      DecodeBase64(put["value"].get<std::string>()),
      mRevision,
      put.value("lease", std::int64_t{ 0 })
    };
  }
  for (const Json& key : body["remove"]) {
    mItems.erase(key.get<std::string>());
  }
  Respond(aSession, 200, Json{ { "revision", mRevision } }.dump());
}

std::vector<std::string> Store::KeysWith(const std::string& aPrefix) const
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems) {
    if (key.starts_with(aPrefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

} // namespace Acaciavale::Platform::StandIns
