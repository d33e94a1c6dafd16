#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Log.h>

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Acaciavale::Platform::StandIns {

using Json = nlohmann::json;
using namespace Relay;
namespace http = boost::beast::http;

namespace {

/// Ends a test that hangs; far longer than any successful run.
constexpr Duration kRunUntilTimeout = std::chrono::seconds(30);
/// Ports below those that the kernel gives to outgoing connections.
constexpr unsigned kFirstTestPort = 20000;
constexpr unsigned kTestPorts = 8000;
/// 127.64.0.0, the first of the addresses for processes of tests, and as many
/// bits as process ids have.
constexpr unsigned kFirstTestHost = 0x7f400000;
constexpr unsigned kTestHostMask = 0x3fffff;

std::string EventText(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: event " + std::to_string(aId) +
         "\n\n";
}

} // namespace

ResponseHead MakeHead(unsigned aStatus)
{
  ResponseHead head;
  head.version(11);
  head.result(aStatus);
  return head;
}

Replica::Replica(boost::asio::io_context& aIoContext,
                 std::string aId,
                 Script aScript)
  : mId(std::move(aId))
  , mScript(std::move(aScript))
  , mListener(aIoContext,
              "127.0.0.1:0",
              { [this](const auto& aSession) {
                 const auto& request = aSession->OpenRequest();
                 mArrivals.push_back(
                   { request.base(), *aSession->OpenBody(), MonotonicNow() });
                 aSession->OnDisconnect([this] { ++mDisconnectedCallers; });
                 mScript(*this, aSession);
               },
                [] { return RequestBounds{}; },
                [] { return false; } })
{
}

ResponseHead Replica::SuccessHead(const ClientSession& aSession) const
{
  ResponseHead head = RefusalHead(200);
  head.set("Attempt-Id", aSession.OpenRequest()["Attempt-Id"]);
  head.set("Replica-Stamp", "stamp-of-" + mId);
  return head;
}

ResponseHead Replica::RefusalHead(unsigned aStatus) const
{
  ResponseHead head = MakeHead(aStatus);
  if (mSaysThatItLeaves) {
    head.set("Server-Leaving", "1");
  }
  if (aStatus == 503 && !mRetryAfter.empty()) {
    head.set(boost::beast::http::field::retry_after, mRetryAfter);
  }
  if (!mLimit.empty()) {
    head.set("Server-Limit", mLimit);
  }
  return head;
}

void Replica::Crash()
{
  mHasCrashed = true;
  mListener.Close();
  mListener.AbortAll();
}

Replica::Script RespondWith(std::string aBody)
{
  return [body = std::move(aBody)](Replica& aSelf, const auto& aSession) {
    aSession->Send(aSelf.SuccessHead(*aSession), body);
  };
}

Replica::Script RefuseWith(unsigned aStatus, bool aSetsNotExecuted)
{
  return [=](Replica& aSelf, const auto& aSession) {
    ResponseHead head = aSelf.RefusalHead(aStatus);
    if (aSetsNotExecuted) {
      head.set("Not-Executed", "1");
    }
    aSession->Send(std::move(head), "refused");
  };
}

Replica::Script BreakConnection()
{
  return [](Replica&, const auto& aSession) { aSession->Abort(); };
}

Replica::Script NeverRespond()
{
  return [](Replica& aSelf, const auto& aSession) {
    aSelf.mHeldSessions.push_back(aSession);
  };
}

Replica::Script StreamEvents(int aEventCount, std::optional<int> aBreakAfter)
{
  return [=](Replica& aSelf, const auto& aSession) {
    const auto last = aSession->OpenRequest()["Last-Event-Id"];
    int event = last.empty() ? 0 : std::stoi(std::string(last));
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    while (event < aEventCount && event != aBreakAfter) {
      ++event;
      aSession->SendChunk(EventText(event));
    }
    if (event != aBreakAfter) {
      aSession->EndStream();
      return;
    }
    aSession->SendChunk("id: " + std::to_string(event + 1) + "\nda");
    aSession->OnDrained([aSession] { aSession->Abort(); });
  };
}

Replica::Script CrashOnPart(std::string aPartId)
{
  return [part = std::move(aPartId)](Replica& aSelf, const auto& aSession) {
    const std::string parts(aSession->OpenRequest()["Prompt-Prefix"]);
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    if (parts.find(part + ':') != std::string::npos) {
      aSession->OnDrained([&aSelf] { aSelf.Crash(); });
      return;
    }
    aSession->SendChunk(EventText(1));
    aSession->EndStream();
  };
}

PlatformFixture::PlatformFixture()
  : mStore(mIoContext)
{
  // The tests check outcomes and do not need the log of single requests.
  ConfigureLog(LogLevel::Error, LogFormat::Text);
  mConfig.mName = "vm-1";
  mConfig.mAddress = "127.0.0.1";
  mConfig.mFailureDomain = "zone-a";
  mConfig.mRegion = "region";
  mConfig.mCallerAddress = "127.0.0.1:0";
  mConfig.mReadinessAddress = "127.0.0.1:0";
  mConfig.mDirectoryAddress = "127.0.0.1:0";
  mConfig.mMetricsAddress = "127.0.0.1:0";
  mConfig.mPeerAddress = "127.0.0.1:0";
  mConfig.mStoreAddress = mStore.Address();
  mConfig.mMinimumLeaseDuration = std::chrono::seconds(1);
  mConfig.mStopTimeout = std::chrono::seconds(8);
  mConfig.mSettingsPropagationLimit = std::chrono::seconds(2);
  mConfig.mDrainPropagationLimit = std::chrono::seconds(2);
  mConfig.mMaximumSettingsAge = std::chrono::seconds(5);
  mConfig.mRetryRatio = 0.9;
  mConfig.mRetryWindow = std::chrono::seconds(10);
  mConfig.mRetrySlack = 56;
  mConfig.mMaximumDirectoryTtl = std::chrono::seconds(5);
}

PlatformFixture::~PlatformFixture()
{
  mNode.reset();
}

Replica& PlatformFixture::AddEndpoint(const std::string& aPool,
                                      const std::string& aId,
                                      Replica::Script aScript,
                                      const std::string& aState,
                                      const std::string& aVersion)
{
  mReplicas.push_back(
    std::make_unique<Replica>(mIoContext, aId, std::move(aScript)));
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

void PlatformFixture::SetEndpointState(const Replica& aReplica,
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

void PlatformFixture::EditEntry(const Replica& aReplica,
                                const std::string& aText,
                                const std::string& aReplacement)
{
  const std::string key = "servers/" + aReplica.Id();
  std::string entry = *mStore.Value(key);
  entry.replace(entry.find(aText), aText.size(), aReplacement);
  mStore.Put(key, entry);
}

void PlatformFixture::PutSettings(std::int64_t aVersion,
                                  const std::vector<std::string>& aApiKeys,
                                  int aAdditionalRoutes)
{
  const auto route = [this](const std::string& aName,
                            const std::string& aKind,
                            const std::string& aPool) {
    return Json{ { "name", aName },
                 { "host", "a.example" },
                 { "path-prefix", "/" + aName + "/" },
                 { "route-kind", aKind },
                 { "timeout-ms", mRouteTimeoutMs },
                 { "goal-ms", mRouteGoalMs },
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
  for (int index = 0; index < aAdditionalRoutes; ++index) {
    routes.push_back(
      route("route-" + std::to_string(index * 7919), "idempotent", "desk"));
  }
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
            { { { "name", "desk" },
                { "max-conns", 100 },
                { "cold-start-s", 3 },
                { "cold-per-s", 2 } },
              { { "name", "engines" },
                { "max-conns", 100 },
                { "engine", engine } } } },
          { "limits",
            { { "max-header-bytes", 8192 }, { "max-body-bytes", 65536 } } },
          { "tenants", { { { "name", "first" }, { "api-keys", aApiKeys } } } } }
      .dump());
}

std::string PlatformFixture::UnusedAddress()
{
  namespace asio = boost::asio;
  // NOTE: An address of the loopback network for each process. Otherwise a VM
  // of
  //       another test that runs beside this one might listen there.
  const auto host = asio::ip::make_address_v4(
    kFirstTestHost + (static_cast<unsigned>(::getpid()) & kTestHostMask));
  static unsigned sOffset = 0;
  for (unsigned attempt = 0; attempt < kTestPorts; ++attempt) {
    sOffset = (sOffset + 1) % kTestPorts;
    const auto port = static_cast<std::uint16_t>(kFirstTestPort + sOffset);
    asio::ip::tcp::acceptor probe(mIoContext);
    boost::system::error_code failure;
    probe.open(asio::ip::tcp::v4(), failure);
    if (!failure) {
      probe.bind({ host, port }, failure);
    }
    if (!failure) {
      return host.to_string() + ':' + std::to_string(port);
    }
  }
  FAIL("All ports of the tests are in use.");
  return {};
}

void PlatformFixture::StartNodeWithoutWaiting()
{
  mNode = std::make_unique<Node>(mIoContext, "", mConfig);
  mNode->Start();
}

void PlatformFixture::StartNode()
{
  StartNodeWithoutWaiting();
  bool isReady = false;
  while (!isReady) {
    isReady =
      FetchPage(mNode->ReadinessAddress(), "/api/readyz").mHead.result_int() ==
      200;
  }
}

std::vector<std::unique_ptr<Node>> PlatformFixture::StartNodes(int aCount)
{
  std::vector<std::unique_ptr<Node>> nodes;
  for (int index = 1; index <= aCount; ++index) {
    auto config = mConfig;
    config.mName = "vm-" + std::to_string(index);
    config.mPeerAddress = UnusedAddress();
    nodes.push_back(std::make_unique<Node>(mIoContext, "", config));
    nodes.back()->Start();
  }
  RunFor(std::chrono::seconds(3));
  return nodes;
}

void PlatformFixture::RunUntil(const std::function<bool()>& aCondition)
{
  const TimePoint deadline = MonotonicNow() + kRunUntilTimeout;
  while (!aCondition()) {
    if (MonotonicNow() > deadline) {
      FAIL("The condition did not become true before the timeout.");
    }
    mIoContext.run_one_for(std::chrono::milliseconds(20));
  }
}

void PlatformFixture::RunFor(Duration aTime)
{
  const TimePoint deadline = MonotonicNow() + aTime;
  while (MonotonicNow() < deadline) {
    mIoContext.run_one_for(std::chrono::milliseconds(20));
  }
}

void PlatformFixture::RunUntilStoreRead()
{
  // NOTE: The second call from now starts after all earlier writes of the test.
  const int calls = mStore.CallCount();
  RunUntil([&] { return mStore.CallCount() >= calls + 4; });
}

std::shared_ptr<OutboundCall> PlatformFixture::StartCall(
  const Request& aRequest,
  const std::string& aAddress,
  const std::shared_ptr<Response>& aResponse,
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
    terms.mBody = std::make_shared<const std::string>(aRequest.mBody);
  }
  for (const auto& [name, value] : aRequest.mHeaders) {
    terms.mHead.set(name, value);
  }
  CallHandlers handlers;
  handlers.mOnHead = [aResponse](const ResponseHead& aHead) {
    aResponse->mHead = aHead;
  };
  handlers.mOnBody = [aResponse](std::string_view aBytes) {
    aResponse->mBody += aBytes;
  };
  handlers.mOnEnd = [aResponse, aOnEnd](CallResult aEnd) {
    aResponse->mResult = aEnd;
    aOnEnd();
  };
  return OutboundCall::Start(mIoContext, std::move(terms), std::move(handlers));
}

Response PlatformFixture::Call(Request aRequest)
{
  static int sCallCount = 0;
  aRequest.mHeaders.emplace("Attempt-Id",
                            "attempt-" + std::to_string(++sCallCount));
  aRequest.mHeaders.emplace("Deadline-Ms", "4000");
  aRequest.mHeaders.emplace("Key", "key-1");
  const auto response = std::make_shared<Response>();
  bool hasEnded = false;
  StartCall(aRequest, mNode->CallerAddress(), response, [&hasEnded] {
    hasEnded = true;
  });
  RunUntil([&hasEnded] { return hasEnded; });
  return *response;
}

std::string PlatformFixture::ExchangeBytes(const std::string& aAddress,
                                           const std::string& aBytes,
                                           boost::system::error_code* aEnd)
{
  namespace asio = boost::asio;
  constexpr Duration kSilence = std::chrono::milliseconds(600);
  const std::size_t colon = aAddress.rfind(':');
  asio::ip::tcp::socket socket(mIoContext);
  socket.connect(
    { asio::ip::make_address(aAddress.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) });
  asio::write(socket, asio::buffer(aBytes));
  socket.non_blocking(true);
  std::string received;
  TimePoint lastAt = MonotonicNow();
  boost::system::error_code failure;
  while (!failure && MonotonicNow() - lastAt < kSilence) {
    RunFor(std::chrono::milliseconds(5));
    std::array<char, 4096> buffer{};
    const std::size_t size = socket.read_some(asio::buffer(buffer), failure);
    received.append(buffer.data(), size);
    if (size > 0) {
      lastAt = MonotonicNow();
    }
    if (failure == asio::error::would_block) {
      failure = {};
    }
  }
  if (aEnd != nullptr) {
    *aEnd = failure;
  }
  return received;
}

Response PlatformFixture::FetchPage(const std::string& aAddress,
                                    const std::string& aTarget)
{
  const auto response = std::make_shared<Response>();
  bool hasEnded = false;
  StartCall({ "GET", aTarget, "", {} }, aAddress, response, [&hasEnded] {
    hasEnded = true;
  });
  RunUntil([&hasEnded] { return hasEnded; });
  return *response;
}

} // namespace Acaciavale::Platform::StandIns
