#include "RawEndpoint.h"

#include "StoreClient.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// Places at which a head is cut off are this many bytes apart.
constexpr std::size_t kStep = 7;

std::string SuccessHeadText()
{
  return RawHead("HTTP/1.1 200 OK", "Content-Type: text/event-stream\r\n");
}

} // namespace

/// Responses whose connection ends within their head.
TEST_GROUP_BASE(CutOffHead, RawEndpointTest)
{
  std::string mHead;
  std::size_t mBytes = 0;
  RawEndpoint::End mEnd = RawEndpoint::End::Close;

  /// Starts a VM that knows one endpoint, which writes mBytes of mHead.
  void StartCutOff(const std::string& aPool)
  {
    mEndpoint = std::make_unique<RawEndpoint>(
      mFixture.mIoContext, [this](const std::string&) {
        return RawEndpoint::Answer{ { { mHead.substr(0, mBytes) } }, mEnd };
      });
    mFixture.PutSettings(1);
    List("i-1", aPool, *mEndpoint);
    mFixture.StartNode();
  }

  /// Calls with each place and each way to end the connection.
  void CheckAllPlaces(const std::function<void()>& aCheck)
  {
    for (const auto end :
         { RawEndpoint::End::Close, RawEndpoint::End::Reset }) {
      mEnd = end;
      for (mBytes = 0; mBytes < mHead.size(); mBytes += kStep) {
        mEndpoint->ForgetArrivals();
        aCheck();
      }
    }
  }

  /// The result of a call of the store, of which mBytes of the head arrive.
  template<typename Value>
  bool FailsOnAllPlaces(
    const std::function<void(
      StoreClient&, const std::string&, const StoreClient::Callback<Value>&)>&
      aCall,
    const std::string& aBody)
  {
    const std::string text = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                             "Content-Type: application/json\r\n\r\n" +
                             aBody;
    const std::size_t headBytes = text.size() - aBody.size();
    bool hasFailed = true;
    for (std::size_t bytes = 0; bytes <= headBytes; ++bytes) {
      const bool isWhole = bytes == headBytes;
      RawEndpoint store(mFixture.mIoContext,
                        { { isWhole ? text : text.substr(0, bytes) } });
      StoreClient client(mFixture.mIoContext, store.Address());
      std::optional<bool> isError;
      aCall(client, store.Address(), [&isError](ErrorOr<Value> aResult) {
        isError = !aResult.has_value();
      });
      mFixture.RunUntil([&isError] { return isError.has_value(); });
      hasFailed = hasFailed && *isError != isWhole;
    }
    return hasFailed;
  }
};

TEST(CutOffHead, OfAnAnswerIsNoAnswer)
{
  mHead = RawHead("HTTP/1.1 200 OK", "Content-Length: 0\r\n");
  StartCutOff("desk");
  CheckAllPlaces([this] {
    const Response response = CallUntilUsed("/once/x");
    CHECK(response.mResult == CallResult::Complete);
    LONGS_EQUAL(502, response.mHead.result_int());
  });
}

TEST(CutOffHead, OfAStreamIsNoStream)
{
  mHead = SuccessHeadText();
  StartCutOff("engines");
  CheckAllPlaces([this] {
    const Response response = CallUntilUsed("/fixed/x");
    CHECK(response.mResult == CallResult::Complete);
    LONGS_EQUAL(502, response.mHead.result_int());
  });
}

/// The request may have run.
TEST(CutOffHead, OfARefusalPromisesNothing)
{
  mHead = RawHead("HTTP/1.1 503 Service Unavailable", "Not-Executed: 1\r\n");
  StartCutOff("desk");
  CheckAllPlaces(
    [this] { LONGS_EQUAL(502, CallUntilUsed("/once/x").mHead.result_int()); });
}

TEST(CutOffHead, DoesNotEndAStreamThatIsResumed)
{
  mHead = SuccessHeadText();
  StartCutOff("engines");
  mFixture.AddEndpoint("engines", "i-2", StreamEvents(3, 1));
  mFixture.RunUntilStoreRead();
  CheckAllPlaces([this] {
    Response response;
    const std::string resumed = "Last-Event-Id: 1";
    do {
      mEndpoint->ForgetArrivals();
      response = Call("/stream/x");
    } while (mEndpoint->Arrivals() == 0 ||
             mEndpoint->LatestRequest().find(resumed) == std::string::npos);
    CHECK(response.mResult != CallResult::Complete);
    STRCMP_EQUAL(EventsText(1, 1).c_str(), response.mBody.c_str());
  });
}

TEST(CutOffHead, IsNoPageOfTheStore)
{
  CHECK(FailsOnAllPlaces<StorePage>(
    [](StoreClient& aClient, const std::string&, const auto& aCallback) {
      StoreRange range;
      range.mPrefix = "servers/";
      aClient.ReadRange(range, aCallback);
    },
    R"({"as-of":5,"truncated":false,"entries":[]})"));
}

TEST(CutOffHead, IsNoAcknowledgementOfAWrite)
{
  CHECK(FailsOnAllPlaces<bool>(
    [](StoreClient& aClient, const std::string&, const auto& aCallback) {
      aClient.Write({ StoreWrite{} }, aCallback);
    },
    R"({"revision":5})"));
}

TEST(CutOffHead, IsNoSnapshotOfAnotherVm)
{
  CHECK(FailsOnAllPlaces<SnapshotAnswer>(
    [](StoreClient& aClient,
       const std::string& aAddress,
       const auto& aCallback) {
      aClient.QueryPeer(aAddress, SnapshotQuery{}, aCallback);
    },
    EncodeSnapshotAnswer(SnapshotAnswer{})));
}
