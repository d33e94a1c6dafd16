#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Log.h>

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace Acaciavale::Platform::StandIns {

using Json = nlohmann::json;
using namespace Relay;
namespace http = boost::beast::http;

namespace {

/// Far beyond what any healthy run takes; a hang must end.
constexpr Duration kGivenUp = std::chrono::seconds(30);

std::string Base64(const std::string& aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  text.resize(static_cast<std::size_t>(
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()))));
  return text;
}

std::string FromBase64(const std::string& aText)
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

ResponseHead Head(unsigned aStatus)
{
  ResponseHead head;
  head.version(11);
  head.result(aStatus);
  return head;
}

std::string EventAt(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: event " + std::to_string(aId) +
         "\n\n";
}

} // namespace

Store::Store(boost::asio::io_context& aLoop)
  : mListener(aLoop,
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

void Store::Serve(const std::shared_ptr<ClientSession>& aSession)
{
  ++mCalls;
  const auto& request = aSession->OpenRequest();
  const std::string target(request.target());
  if (mMode == Mode::Silent) {
    mHeld.push_back(aSession);
    return;
  }
  if (mMode == Mode::Busy) {
    aSession->Send(Head(503), "{}");
  } else if (target.starts_with("/api/kv-range?path-prefix=")) {
    const std::string prefix = target.substr(target.find('=') + 1);
    Range(*aSession, prefix.substr(0, prefix.find('&')));
  } else if (target == "/api/kv-txn") {
    Transact(*aSession);
  } else if (target == "/api/kv-lease") {
    const Json body = Json::parse(request.body());
    aSession->Send(
      Head(200),
      Json{ { "lease", ++mLeases }, { "ttl-ms", body["ttl-ms"] } }.dump());
  } else if (target.starts_with("/api/kv-keep/")) {
    aSession->Send(Head(200), R"({"ttl-ms":3000})");
  } else if (target.starts_with("/api/kv-lease-end/")) {
    const std::int64_t lease = std::stoll(target.substr(18));
    mRevision += static_cast<std::int64_t>(
      std::erase_if(mItems, [lease](const auto& aItem) {
        return aItem.second.mLease == lease;
      }));
    aSession->Send(Head(200), "{}");
  } else {
    aSession->Send(Head(400), "{}");
  }
}

void Store::Range(ClientSession& aSession, const std::string& aPrefix)
{
  Json entries = Json::array();
  for (const auto& [key, item] : mItems) {
    if (key.starts_with(aPrefix)) {
      entries.push_back({ { "key", key },
                          { "value", Base64(item.mValue) },
                          { "revision", item.mRevision },
                          { "created", item.mRevision },
                          { "lease", item.mLease } });
    }
  }
  aSession.Send(Head(200),
                Json{ { "entries", entries },
                      { "truncated", false },
                      { "as-of", mRevision } }
                  .dump());
}

void Store::Transact(ClientSession& aSession)
{
  const Json body = Json::parse(aSession.OpenRequest().body());
  for (const Json& condition : body["precondition"]) {
    const auto found = mItems.find(condition["key"].get<std::string>());
    const std::int64_t revision =
      found == mItems.end() ? 0 : found->second.mRevision;
    if (revision != condition["revision"].get<std::int64_t>()) {
      aSession.Send(Head(412), R"({"entries":[]})");
      return;
    }
  }
  ++mRevision;
  for (const Json& put : body["puts"]) {
    mItems[put["key"].get<std::string>()] = {
      FromBase64(put["value"].get<std::string>()),
      mRevision,
      put.value("lease", std::int64_t{ 0 })
    };
  }
  aSession.Send(Head(200), Json{ { "revision", mRevision } }.dump());
}

Replica::Replica(boost::asio::io_context& aLoop,
                 std::string aId,
                 Script aScript)
  : mId(std::move(aId))
  , mScript(std::move(aScript))
  , mListener(aLoop,
              "127.0.0.1:0",
              { [this](const auto& aSession) {
                 const auto& request = aSession->OpenRequest();
                 mArrivals.push_back({ request.base(), request.body() });
                 aSession->OnDisconnect([this] { ++mCallersGone; });
                 mScript(*this, aSession);
               },
                [] { return RequestBounds{}; },
                [] { return false; } })
{
}

ResponseHead Replica::Good(const ClientSession& aSession) const
{
  ResponseHead head = Head(200);
  head.set("Attempt-Id", aSession.OpenRequest()["Attempt-Id"]);
  head.set("Replica-Stamp", "stamp-of-" + mId);
  return head;
}

Replica::Script Answers(std::string aBody)
{
  return [body = std::move(aBody)](Replica& aSelf, const auto& aSession) {
    aSession->Send(aSelf.Good(*aSession), body);
  };
}

Replica::Script Refuses(unsigned aStatus, bool aSaysNotRun)
{
  return [=](Replica&, const auto& aSession) {
    ResponseHead head = Head(aStatus);
    if (aSaysNotRun) {
      head.set("Not-Executed", "1");
    }
    aSession->Send(std::move(head), "refused");
  };
}

Replica::Script Cuts()
{
  return [](Replica&, const auto& aSession) { aSession->Abort(); };
}

Replica::Script Hangs()
{
  return [](Replica& aSelf, const auto& aSession) {
    aSelf.mHeld.push_back(aSession);
  };
}

Replica::Script Streams(int aEvents, std::optional<int> aCutAfter)
{
  return [=](Replica& aSelf, const auto& aSession) {
    const auto last = aSession->OpenRequest()["Last-Event-Id"];
    int event = last.empty() ? 0 : std::stoi(std::string(last));
    aSession->BeginStream(aSelf.Good(*aSession));
    while (event < aEvents && event != aCutAfter) {
      ++event;
      aSession->SendChunk(EventAt(event));
    }
    if (event != aCutAfter) {
      aSession->EndStream();
      return;
    }
    aSession->SendChunk("id: " + std::to_string(event + 1) + "\nda");
    aSession->OnDrained([aSession] { aSession->Abort(); });
  };
}

World::World()
  : mStore(mLoop)
{
  // What a request meets is checked, not logged.
  ConfigureLog(LogLevel::Error, LogFormat::Text);
  mFile.mName = "vm-1";
  mFile.mAddress = "127.0.0.1";
  mFile.mFailureDomain = "zone-a";
  mFile.mRegion = "region";
  mFile.mCallers = "127.0.0.1:0";
  mFile.mReadiness = "127.0.0.1:0";
  mFile.mDirectory = "127.0.0.1:0";
  mFile.mMetrics = "127.0.0.1:0";
  mFile.mPeers = "127.0.0.1:0";
  mFile.mStore = mStore.Address();
  mFile.mShortestLease = std::chrono::seconds(1);
  mFile.mStopWithin = std::chrono::seconds(8);
  mFile.mInForce = std::chrono::seconds(2);
  mFile.mLeaving = std::chrono::seconds(2);
  mFile.mKeyProof = std::chrono::seconds(5);
  mFile.mRetryRatio = 0.9;
  mFile.mRetryWindow = std::chrono::seconds(10);
  mFile.mRetrySlack = 56;
  mFile.mLongestEntry = std::chrono::seconds(5);
}

World::~World()
{
  mNode.reset();
}

Replica& World::Add(const std::string& aPool,
                    const std::string& aId,
                    Replica::Script aScript,
                    const std::string& aState,
                    const std::string& aVersion)
{
  mReplicas.push_back(
    std::make_unique<Replica>(mLoop, aId, std::move(aScript)));
  Replica& replica = *mReplicas.back();
  mStore.Put("servers/" + aId,
             Json{ { "service", aPool },
                   { "address", replica.Address() },
                   { "zone", "zone-a" },
                   { "version", aVersion },
                   { "slots", 4 },
                   { "state", aState },
                   { "cold-left-ms", 0 },
                   { "seq-no", 1 } }
               .dump());
  return replica;
}

void World::SetState(const Replica& aReplica,
                     const std::string& aPool,
                     const std::string& aState)
{
  mStore.Put("servers/" + aReplica.Id(),
             Json{ { "service", aPool },
                   { "address", aReplica.Address() },
                   { "zone", "zone-a" },
                   { "version", "v1" },
                   { "slots", 4 },
                   { "state", aState },
                   { "seq-no", 2 } }
               .dump());
}

void World::PutSettings(std::int64_t aVersion,
                        const std::vector<std::string>& aKeys)
{
  const auto route = [](const std::string& aName,
                        const std::string& aKind,
                        const std::string& aPool) {
    return Json{ { "name", aName },
                 { "host", "a.example" },
                 { "path-prefix", "/" + aName + "/" },
                 { "route-kind", aKind },
                 { "timeout-ms", 5000 },
                 { "goal-ms", 400 },
                 { "priority", 0 },
                 { "service", aPool },
                 { "max-attempts", 3 },
                 { "public", false } };
  };
  Json routes = Json::array({ route("once", "non_idempotent", "desk"),
                              route("again", "idempotent", "desk"),
                              route("short", "non_idempotent", "desk"),
                              route("open", "idempotent", "desk"),
                              route("stream", "streaming", "engines"),
                              route("fixed", "streaming", "engines"),
                              route("sized", "streaming", "engines") });
  routes[2]["timeout-ms"] = 300;
  routes[3]["public"] = true;
  routes[4]["resumable"] = true;
  routes[4]["gap-goal-ms"] = 1500;
  routes[6]["resumable"] = true;
  routes[6]["sizes"] = { "small", "large" };
  const Json engine{ { "slots", 4 },
                     { "kv-capacity", 100000 },
                     { "models",
                       { { { "name", "small" }, { "cost", 0.01 } },
                         { { "name", "large" }, { "cost", 0.2 } } } } };
  mStore.Put(
    "op/config",
    Json{ { "version", aVersion },
          { "routes", routes },
          { "services",
            { { { "name", "desk" }, { "max-conns", 100 } },
              { { "name", "engines" },
                { "max-conns", 100 },
                { "engine", engine } } } },
          { "limits",
            { { "max-header-bytes", 8192 }, { "max-body-bytes", 65536 } } },
          { "tenants", { { { "name", "first" }, { "api-keys", aKeys } } } } }
      .dump());
}

std::string World::FreeAddress()
{
  const boost::asio::ip::tcp::acceptor probe(
    mLoop,
    boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

void World::BeginNode()
{
  mNode = std::make_unique<Node>(mLoop, "", mFile);
  mNode->Start();
}

void World::StartNode()
{
  BeginNode();
  bool isReady = false;
  while (!isReady) {
    isReady = Page(mNode->Readiness(), "/api/readyz").mHead.result_int() == 200;
  }
}

void World::Until(const std::function<bool()>& aCondition)
{
  const TimePoint end = MonotonicNow() + kGivenUp;
  while (!aCondition()) {
    if (MonotonicNow() > end) {
      FAIL("The condition did not hold.");
    }
    mLoop.run_one_for(std::chrono::milliseconds(20));
  }
}

void World::RunFor(Duration aTime)
{
  const TimePoint end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    mLoop.run_one_for(std::chrono::milliseconds(20));
  }
}

void World::UntilRead()
{
  // NOTE: The second call from now began after whatever was put before it.
  const int calls = mStore.Calls();
  Until([&] { return mStore.Calls() >= calls + 4; });
}

std::shared_ptr<OutboundCall> World::Begin(
  const Request& aRequest,
  const std::string& aAddress,
  const std::shared_ptr<Answer>& aAnswer,
  const std::function<void()>& aOnEnd)
{
  CallOptions terms;
  terms.mAddress = aAddress;
  terms.mConnectTimeout = std::chrono::seconds(5);
  terms.mHead.version(11);
  terms.mHead.method_string(aRequest.mMethod);
  terms.mHead.target(aRequest.mTarget);
  terms.mHead.set(http::field::host, "a.example");
  if (aRequest.mMethod == "POST") {
    terms.mHead.set(http::field::content_length,
                    std::to_string(aRequest.mBody.size()));
    terms.mBody = aRequest.mBody;
  }
  for (const auto& [name, value] : aRequest.mHeader) {
    terms.mHead.set(name, value);
  }
  CallHandlers handlers;
  handlers.mOnHead = [aAnswer](const ResponseHead& aHead) {
    aAnswer->mHead = aHead;
  };
  handlers.mOnBody = [aAnswer](std::string_view aBytes) {
    aAnswer->mBody += aBytes;
  };
  handlers.mOnEnd = [aAnswer, aOnEnd](CallResult aEnd) {
    aAnswer->mEnd = aEnd;
    aOnEnd();
  };
  return OutboundCall::Start(mLoop, std::move(terms), std::move(handlers));
}

Answer World::Call(Request aRequest)
{
  static int sCalls = 0;
  aRequest.mHeader.emplace("Attempt-Id", "attempt-" + std::to_string(++sCalls));
  aRequest.mHeader.emplace("Deadline-Ms", "4000");
  aRequest.mHeader.emplace("Key", "key-1");
  const auto answer = std::make_shared<Answer>();
  bool isOver = false;
  Begin(aRequest, mNode->Callers(), answer, [&isOver] { isOver = true; });
  Until([&isOver] { return isOver; });
  return *answer;
}

Answer World::Page(const std::string& aAddress, const std::string& aTarget)
{
  const auto answer = std::make_shared<Answer>();
  bool isOver = false;
  Begin(
    { "GET", aTarget, "", {} }, aAddress, answer, [&isOver] { isOver = true; });
  Until([&isOver] { return isOver; });
  return *answer;
}

} // namespace Acaciavale::Platform::StandIns
