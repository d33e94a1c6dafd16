#include "LibPlatform/CallGate.h"
#include "LibPlatform/HttpClient.h"

#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>

#include <atomic>
#include <nlohmann/json.hpp>

namespace Acaciavale {

using nlohmann::json;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kFirstServerErrorStatus = 500;

/// Call counters that any thread may increment.
struct Counters
{
  std::atomic<std::int64_t> mReads{ 0 };
  std::atomic<std::int64_t> mWrites{ 0 };
  std::atomic<std::int64_t> mFailures{ 0 };
  std::atomic<std::int64_t> mRefusedByBudget{ 0 };
  std::atomic<std::int64_t> mRefusedByBreaker{ 0 };
};

tl::unexpected<Error> MalformedResponse()
{
  return MakeError(ErrorCode::Internal,
                   "The response of the key-value service is malformed.");
}

ErrorOr<json> Parsed(const std::string& aBody)
{
  json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return MalformedResponse();
  }
  return body;
}

ErrorOr<KeyValueEntry> EntryOf(const json& aBody)
{
  try {
    return KeyValueEntry{ aBody.at("key").get<std::string>(),
                          aBody.at("value").get<std::string>(),
                          aBody.at("revision").get<std::int64_t>() };
  } catch (const json::exception&) {
    return MalformedResponse();
  }
}

ErrorOr<std::vector<KeyValueEntry>> EntriesOf(const std::string& aBody)
{
  const json body = ACACIAVALE_TRY(Parsed(aBody));
  if (!body.contains("entries") || !body["entries"].is_array()) {
    return MalformedResponse();
  }
  std::vector<KeyValueEntry> entries;
  for (const json& entry : body["entries"]) {
    entries.push_back(ACACIAVALE_TRY(EntryOf(entry)));
  }
  return entries;
}

ErrorOr<std::int64_t> IntegerField(const std::string& aBody, const char* aName)
{
  const json body = ACACIAVALE_TRY(Parsed(aBody));
  if (!body.contains(aName) || !body[aName].is_number_integer()) {
    return MalformedResponse();
  }
  return body[aName].get<std::int64_t>();
}

/// Maps OutcomeUnknown to Unavailable, since a read has no effect that could be
/// in doubt.
Error AsReadError(Error aError)
{
  if (aError.mCode == ErrorCode::OutcomeUnknown) {
    aError.mCode = ErrorCode::Unavailable;
  }
  return aError;
}

ErrorOr<void> CheckReadStatus(const HttpResponse& aResponse)
{
  if (aResponse.mStatus == kStatusOk) {
    return {};
  }
  return MakeError(ErrorCode::Unavailable,
                   "The key-value service returned status " +
                     std::to_string(aResponse.mStatus));
}

ErrorOr<void> CheckWriteStatus(const HttpResponse& aResponse)
{
  if (aResponse.mStatus == kStatusOk) {
    return {};
  }
  if (aResponse.mStatus == kStatusConflict) {
    return MakeError(ErrorCode::Conflict, "The revision has changed.");
  }
  if (aResponse.mStatus == kStatusNotFound) {
    return MakeError(ErrorCode::NotFound,
                     "The key-value service found no such key or lease.");
  }
  // NOTE: Only a status below 500 means that the service rejected the write.
  return MakeError(aResponse.mStatus >= kFirstServerErrorStatus
                     ? ErrorCode::OutcomeUnknown
                     : ErrorCode::Invalid,
                   "The key-value service returned status " +
                     std::to_string(aResponse.mStatus));
}

} // namespace

struct HttpKeyValueClient::Private
{
  explicit Private(KeyValueClientOptions aOptions)
    : mOptions(std::move(aOptions))
    , mGate({ mOptions.mCallsPerSecond,
              mOptions.mCallBurst,
              mOptions.mBreakerOpenTime },
            MonotonicNow())
  {
  }

  ErrorOr<HttpResponse> Call(const char* aMethod,
                             const std::string& aPath,
                             const json& aBody,
                             Duration aExtraTime)
  {
    const GateVerdict verdict = mGate.Admit(MonotonicNow());
    if (verdict == GateVerdict::BudgetExhausted) {
      ++mCounters.mRefusedByBudget;
      return MakeError(ErrorCode::Unavailable,
                       "The call budget of the key-value client is exhausted.");
    }
    if (verdict == GateVerdict::BreakerOpen) {
      ++mCounters.mRefusedByBreaker;
      return MakeError(ErrorCode::Unavailable,
                       "The circuit breaker of the key-value client is open.");
    }
    const bool isWrite = std::string_view(aMethod) != "GET";
    ++(isWrite ? mCounters.mWrites : mCounters.mReads);
    HttpCall call;
    call.mMethod = aMethod;
    call.mUrl = "http://" + mOptions.mAddress + aPath;
    call.mBody = isWrite ? aBody.dump() : "";
    call.mTimeout = mOptions.mTimeout + aExtraTime;
    call.mOwnConnection = true;
    ErrorOr<HttpResponse> response = mHttp.Call(call);
    if (response && response->mStatus < kFirstServerErrorStatus) {
      mGate.Succeeded();
    } else {
      ++mCounters.mFailures;
      mGate.Failed(MonotonicNow());
    }
    return response;
  }

  ErrorOr<HttpResponse> Get(const std::string& aPath, Duration aExtraTime = {})
  {
    return Call("GET", aPath, {}, aExtraTime).map_error(AsReadError);
  }

  ErrorOr<HttpResponse> Post(const std::string& aPath, const json& aBody)
  {
    return Call("POST", aPath, aBody, {});
  }

  ErrorOr<std::optional<KeyValueEntry>> Read(const std::string& aKey)
  {
    const HttpResponse response =
      ACACIAVALE_TRY(Get("/v1/kv?key=" + EncodeQuery(aKey)));
    if (response.mStatus == kStatusNotFound) {
      return std::optional<KeyValueEntry>{};
    }
    if (auto done = CheckReadStatus(response); !done) {
      return tl::make_unexpected(done.error());
    }
    const json body = ACACIAVALE_TRY(Parsed(response.mBody));
    KeyValueEntry entry = ACACIAVALE_TRY(EntryOf(body));
    if (entry.mKey != aKey) {
      return MalformedResponse();
    }
    return std::optional{ std::move(entry) };
  }

  ErrorOr<std::vector<KeyValueEntry>> List(const std::string& aPrefix)
  {
    const HttpResponse response =
      ACACIAVALE_TRY(Get("/v1/kv?prefix=" + EncodeQuery(aPrefix)));
    if (auto done = CheckReadStatus(response); !done) {
      return tl::make_unexpected(done.error());
    }
    return EntriesOf(response.mBody);
  }

  ErrorOr<std::int64_t> Write(const CompareAndSwap& aWrite)
  {
    const json body{ { "key", aWrite.mKey },
                     { "value", aWrite.mValue },
                     { "expected_revision", aWrite.mExpectedRevision },
                     { "lease", aWrite.mLease } };
    const HttpResponse response = ACACIAVALE_TRY(Post("/v1/kv", body));
    if (auto done = CheckWriteStatus(response); !done) {
      return tl::make_unexpected(done.error());
    }
    return IntegerField(response.mBody, "revision");
  }

  ErrorOr<void> Remove(const std::string& aKey, std::int64_t aExpected)
  {
    const std::string path = "/v1/kv?key=" + EncodeQuery(aKey) +
                             "&expected_revision=" + std::to_string(aExpected);
    return CheckWriteStatus(ACACIAVALE_TRY(Call("DELETE", path, {}, {})));
  }

  ErrorOr<std::vector<KeyValueEntry>> Watch(const std::string& aPrefix,
                                            std::int64_t aAfter,
                                            Duration aWait)
  {
    const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(aWait).count();
    const HttpResponse response = ACACIAVALE_TRY(Get(
      "/v1/watch?prefix=" + EncodeQuery(aPrefix) +
        "&after=" + std::to_string(aAfter) + "&wait_ms=" + std::to_string(wait),
      aWait));
    if (auto done = CheckReadStatus(response); !done) {
      return tl::make_unexpected(done.error());
    }
    return EntriesOf(response.mBody);
  }

  ErrorOr<std::int64_t> GrantLease(Duration aTimeToLive)
  {
    const auto timeToLive =
      std::chrono::duration_cast<std::chrono::milliseconds>(aTimeToLive);
    const HttpResponse response =
      ACACIAVALE_TRY(Post("/v1/leases", { { "ttl_ms", timeToLive.count() } }));
    if (auto done = CheckWriteStatus(response); !done) {
      return tl::make_unexpected(done.error());
    }
    return IntegerField(response.mBody, "lease");
  }

  ErrorOr<void> KeepLease(std::int64_t aLease)
  {
    return CheckWriteStatus(
      ACACIAVALE_TRY(Post("/v1/leases/keep", { { "lease", aLease } })));
  }

  ErrorOr<void> RevokeLease(std::int64_t aLease)
  {
    const std::string path = "/v1/leases?lease=" + std::to_string(aLease);
    return CheckWriteStatus(ACACIAVALE_TRY(Call("DELETE", path, {}, {})));
  }

  KeyValueClientOptions mOptions;
  CallGate mGate;
  HttpClient mHttp;
  Counters mCounters;
};

HttpKeyValueClient::HttpKeyValueClient(KeyValueClientOptions aOptions)
  : mPrivate(std::make_unique<Private>(std::move(aOptions)))
{
}

HttpKeyValueClient::~HttpKeyValueClient() = default;

KeyValueStore HttpKeyValueClient::Store()
{
  Private* client = mPrivate.get();
  KeyValueStore store;
  store.mRead = [client](const std::string& aKey) {
    return client->Read(aKey);
  };
  store.mList = [client](const std::string& aPrefix) {
    return client->List(aPrefix);
  };
  store.mCompareAndSwap = [client](const CompareAndSwap& aWrite) {
    return client->Write(aWrite);
  };
  store.mRemove = [client](const std::string& aKey, std::int64_t aExpected) {
    return client->Remove(aKey, aExpected);
  };
  store.mWatch =
    [client](const std::string& aPrefix, std::int64_t aAfter, Duration aWait) {
      return client->Watch(aPrefix, aAfter, aWait);
    };
  store.mGrantLease = [client](Duration aTimeToLive) {
    return client->GrantLease(aTimeToLive);
  };
  store.mKeepLease = [client](std::int64_t aLease) {
    return client->KeepLease(aLease);
  };
  store.mRevokeLease = [client](std::int64_t aLease) {
    return client->RevokeLease(aLease);
  };
  return store;
}

KeyValueClientCounts HttpKeyValueClient::Counts() const
{
  const Counters& counters = mPrivate->mCounters;
  return { counters.mReads,
           counters.mWrites,
           counters.mFailures,
           counters.mRefusedByBudget,
           counters.mRefusedByBreaker };
}

} // namespace Acaciavale
