#include <Acaciavale/LibRelay/ClientSession.h>
#include <Acaciavale/LibRelay/OutboundCall.h>

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(OutboundCall)
{
  boost::asio::io_context mLoop{ 1 };
  int mRequests = 0;
  Listener mServer{ mLoop,
                    "127.0.0.1:0",
                    { [this](const std::shared_ptr<ClientSession>& aSession) {
                       ++mRequests;
                       ResponseHead head;
                       head.version(11);
                       head.result(200);
                       aSession->Send(std::move(head), "hello");
                     },
                      [this] { return mBounds; },
                      [] { return false; } } };
  RequestBounds mBounds;

  std::shared_ptr<OutboundCall> Start(Duration aConnectTimeout,
                                      std::optional<CallResult> & aEnd)
  {
    CallOptions options;
    options.mAddress = mServer.Address();
    options.mConnectTimeout = aConnectTimeout;
    options.mHead.version(11);
    options.mHead.method_string("GET");
    options.mHead.target("/");
    options.mHead.set("Host", "a");
    CallHandlers handlers;
    handlers.mOnHead = [](const ResponseHead&) {};
    handlers.mOnBody = [](std::string_view) {};
    handlers.mOnEnd = [&aEnd](CallResult aResult) { aEnd = aResult; };
    return OutboundCall::Start(mLoop, std::move(options), std::move(handlers));
  }
};

/// Guards against a false NotConnected when the connection is established and
/// the connect timeout has expired before the event loop runs, as on a VM
/// without processor time. NotConnected states that nothing was written,
/// although the request is being sent.
TEST(OutboundCall, NotConnectedIsNeverReportedAfterAWrite)
{
  for (int call = 0; call < 20; ++call) {
    std::optional<CallResult> end;
    const int before = mRequests;
    Start(std::chrono::milliseconds(1), end);
    std::this_thread::sleep_for(std::chrono::milliseconds(3));
    while (!end) {
      mLoop.run_one();
    }
    mLoop.run_for(std::chrono::milliseconds(5));
    CHECK(end != CallResult::NotConnected || mRequests == before);
  }
}

/// Guards against closing a caller's connection if a request arrives in time
/// and the idle timeout expires before the event loop runs.
TEST(OutboundCall, RequestReceivedInTimeIsServedDespiteAnExpiredTimer)
{
  mBounds.mIdleTimeout = std::chrono::milliseconds(2);
  mBounds.mHeaderTimeout = std::chrono::milliseconds(2);
  for (int call = 0; call < 20; ++call) {
    std::optional<CallResult> end;
    const int before = mRequests;
    Start(std::chrono::seconds(5), end);
    while (!end) {
      mLoop.run_one();
      std::this_thread::sleep_for(std::chrono::microseconds(900));
    }
    CHECK(mRequests == before || end == CallResult::Complete);
  }
}
