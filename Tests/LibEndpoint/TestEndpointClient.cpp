#include "ScriptedEndpoint.h"

#include <Acaciavale/LibEndpoint/EndpointClient.h>
#include <asio/steady_timer.hpp>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr const char* kHelloResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: r1\r\n\r\nhello";

/// More than the buffers of both sockets take.
constexpr std::size_t kUploadBytes = 12U << 20;

EndpointRequest MakeRequest(const std::string& aAddress)
{
  EndpointRequest request;
  request.mAddress = aAddress;
  request.mMethod = "POST";
  request.mPath = "/x";
  request.mBody = "body";
  request.mTimeout = std::chrono::seconds(20);
  return request;
}

/// Runs one request to completion and returns its result and the response body.
std::pair<TransferResult, std::string> RunRequest(asio::io_context& aContext,
                                                  EndpointClient& aClient,
                                                  EndpointRequest aRequest)
{
  std::optional<TransferResult> result;
  std::string body;
  EndpointObserver observer;
  observer.mOnBody = [&body](std::string_view aBytes) { body += aBytes; };
  observer.mOnDone = [&result](const TransferResult& aResult) {
    result = aResult;
  };
  aClient.Start(std::move(aRequest), std::move(observer));
  while (!result) {
    aContext.run_one();
  }
  return { *result, body };
}

} // namespace

TEST_GROUP(EndpointClient)
{
  asio::io_context mContext{ 1 };
};

TEST(EndpointClient, CompleteResponseIsReportedAsComplete)
{
  EndpointClient client(mContext);
  ScriptedEndpoint endpoint(
    mContext, [](auto& aSocket, int) { WriteText(aSocket, kHelloResponse); });
  const auto [result, body] =
    RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  CHECK(result.mOutcome == TransferOutcome::Complete);
  LONGS_EQUAL(200, result.mStatus);
  STRCMP_EQUAL("hello", body.c_str());
}

TEST(EndpointClient, RefusedConnectionIsReportedAsNotSent)
{
  EndpointClient client(mContext);
  std::string address;
  {
    const ScriptedEndpoint closedEndpoint(mContext, [](auto&, int) {});
    address = closedEndpoint.Address();
  }
  const auto [result, body] =
    RunRequest(mContext, client, MakeRequest(address));
  CHECK(result.mOutcome == TransferOutcome::NotSent);
}

TEST(EndpointClient, TruncatedResponseIsReportedAsConnectionLost)
{
  EndpointClient client(mContext);
  ScriptedEndpoint endpoint(mContext, [](auto& aSocket, int) {
    WriteText(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel");
    aSocket.close();
  });
  const auto [result, body] =
    RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  CHECK(result.mOutcome == TransferOutcome::ConnectionLost);
}

// libcurl resends a request by itself if a reused connection turns out to be
// closed. The request could then run twice.
TEST(EndpointClient, ARequestIsSentOnceWhenItsConnectionIsLost)
{
  EndpointClient client(mContext);
  ScriptedEndpoint endpoint(mContext, [](auto& aSocket, int aRequest) {
    if (aRequest == 1) {
      WriteText(aSocket, kHelloResponse);
    } else {
      aSocket.close();
    }
  });
  RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  const auto [result, body] =
    RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  CHECK(result.mOutcome == TransferOutcome::ConnectionLost);
  LONGS_EQUAL(2, endpoint.mRequests);
  LONGS_EQUAL(2, endpoint.mConnections);
}

TEST(EndpointClient, TransferCanBeCancelledFromItsBodyCallback)
{
  EndpointClient client(mContext);
  ScriptedEndpoint endpoint(
    mContext, [](auto& aSocket, int) { WriteText(aSocket, kHelloResponse); });
  TransferId transfer = 0;
  bool done = false;
  bool bodyReceived = false;
  EndpointObserver observer;
  observer.mOnBody = [&](std::string_view) {
    bodyReceived = true;
    client.Cancel(transfer);
  };
  observer.mOnDone = [&done](const TransferResult&) { done = true; };
  transfer = client.Start(MakeRequest(endpoint.Address()), observer);
  while (!bodyReceived) {
    mContext.run_one();
  }
  // A second transfer shows that the client still works, and gives the first
  // one time in which it could wrongly call mOnDone.
  const auto [result, body] =
    RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  CHECK(result.mOutcome == TransferOutcome::Complete);
  CHECK_FALSE(done);
}

TEST(EndpointClient, PausedTransferDeliversNoBytesUntilResumed)
{
  EndpointClient client(mContext);
  ScriptedEndpoint endpoint(mContext, [](auto& aSocket, int) {
    WriteText(aSocket,
              "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                std::string(100'000, 'x'));
  });
  std::size_t received = 0;
  std::optional<TransferResult> result;
  TransferId transfer = 0;
  EndpointObserver observer;
  observer.mOnBody = [&](std::string_view aBytes) {
    received += aBytes.size();
    client.Pause(transfer);
  };
  observer.mOnDone = [&](const TransferResult& aResult) { result = aResult; };
  transfer = client.Start(MakeRequest(endpoint.Address()), observer);
  while (!result) {
    const std::size_t before = received;
    mContext.run_one();
    // Each resume delivers at most one read, because the callback pauses the
    // transfer again.
    CHECK(received - before <= 16'384);
    client.Resume(transfer);
  }
  LONGS_EQUAL(100'000, received);
  CHECK(result->mOutcome == TransferOutcome::Complete);
}

TEST(EndpointClient, InterimResponsesLeaveNoHeaders)
{
  EndpointClient client(mContext);
  ScriptedEndpoint endpoint(mContext, [](auto& aSocket, int) {
    WriteText(aSocket,
              "HTTP/1.1 103 Early Hints\r\nX-Request-Id: other\r\n"
              "X-Resumed-From: 4\r\nContent-Type: text/event-stream\r\n\r\n"
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  std::vector<EndpointResponseHeaders> headers;
  std::optional<TransferResult> result;
  EndpointObserver observer;
  observer.mOnHeaders = [&](const EndpointResponseHeaders& aHeaders) {
    headers.push_back(aHeaders);
  };
  observer.mOnDone = [&](const TransferResult& aResult) { result = aResult; };
  client.Start(MakeRequest(endpoint.Address()), observer);
  while (!result) {
    mContext.run_one();
  }
  LONGS_EQUAL(1, headers.size());
  CHECK(headers[0] == (EndpointResponseHeaders{ 200, "", "", "" }));
}

// libcurl takes a head that is cut off for a whole one with an empty body.
TEST(EndpointClient, AHeadThatIsCutOffIsNoAnswer)
{
  EndpointClient client(mContext);
  for (const std::string head :
       { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: r1\r\n",
         "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n",
         "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nServer: a\r\n" }) {
    for (std::size_t bytes = 0; bytes <= head.size(); ++bytes) {
      ScriptedEndpoint endpoint(mContext, [&](auto& aSocket, int) {
        WriteText(aSocket, head.substr(0, bytes));
        aSocket.close();
      });
      bool hasHeaders = false;
      std::optional<TransferResult> result;
      EndpointObserver observer;
      observer.mOnHeaders = [&](const EndpointResponseHeaders&) {
        hasHeaders = true;
      };
      observer.mOnDone = [&](const TransferResult& aResult) {
        result = aResult;
      };
      client.Start(MakeRequest(endpoint.Address()), observer);
      while (!result) {
        mContext.run_one();
      }
      CHECK(result->mOutcome == TransferOutcome::ConnectionLost);
      CHECK_FALSE(hasHeaders);
      LONGS_EQUAL(0, result->mStatus);
    }
  }
}

// libcurl keeps each line of a head.
TEST(EndpointClient, AHeadOfShortFieldsIsGivenUp)
{
  EndpointClient client(mContext);
  for (const std::string line :
       { "a:\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n" }) {
    std::string head;
    for (int repetition = 0; repetition < 2000; ++repetition) {
      head += line;
    }
    const std::string status = "HTTP/1.1 200 OK\r\n";
    head.insert(line.ends_with("\r\n\r\n") ? head.size() : 0, status);
    ScriptedEndpoint endpoint(mContext, [&](auto& aSocket, int) {
      WriteText(aSocket, head + "Content-Length: 0\r\n\r\n");
    });
    bool hasHeaders = false;
    std::optional<TransferResult> result;
    EndpointObserver observer;
    observer.mOnHeaders = [&](const EndpointResponseHeaders&) {
      hasHeaders = true;
    };
    observer.mOnDone = [&](const TransferResult& aResult) { result = aResult; };
    client.Start(MakeRequest(endpoint.Address()), observer);
    while (!result) {
      mContext.run_one();
    }
    CHECK(result->mOutcome == TransferOutcome::ConnectionLost);
    CHECK_FALSE(hasHeaders);
  }
}

// The second copy arrives when the next request has been sent, so that nothing
// but the connection tells whose answer it is.
TEST(EndpointClient, ALateCopyOfAnAnswerIsNotTheNextAnswer)
{
  EndpointClient client(mContext);
  const std::string refusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nold";
  ScriptedEndpoint endpoint(mContext, [&](auto& aSocket, int aRequest) {
    if (aRequest == 1) {
      WriteText(aSocket, refusal);
      return;
    }
    if (endpoint.mConnections == 1) {
      WriteText(aSocket, refusal);
    }
    WriteText(aSocket, kHelloResponse);
  });
  RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  const auto [result, body] =
    RunRequest(mContext, client, MakeRequest(endpoint.Address()));
  LONGS_EQUAL(200, result.mStatus);
  STRCMP_EQUAL("hello", body.c_str());
}

TEST(EndpointClient, AnAnswerWithAnInvalidHeadIsNone)
{
  EndpointClient client(mContext);
  for (const char* head : kBrokenHeads) {
    ScriptedEndpoint endpoint(mContext, [head](auto& aSocket, int) {
      WriteText(aSocket, std::string(head) + "\r\n6\r\nanswer\r\n0\r\n\r\n");
      aSocket.close();
    });
    const auto [result, body] =
      RunRequest(mContext, client, MakeRequest(endpoint.Address()));
    CHECK_TEXT(result.mOutcome == TransferOutcome::ConnectionLost, head);
    LONGS_EQUAL_TEXT(0, result.mStatus, head);
    STRCMP_EQUAL_TEXT("", body.c_str(), head);
  }
}

TEST(EndpointClient, AnAnswerThatIsResetDuringTheUploadIsNone)
{
  EndpointClient client(mContext);
  for (const char* head : { "HTTP/1.1 200 OK\r\n\r\n",
                            "HTTP/1.0 200 OK\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                            "HTTP/1.1 103 Early Hints\r\n\r\n"
                            "HTTP/1.1 200 OK\r\n\r\n" }) {
    for (const char* part : { "part", "" }) {
      asio::steady_timer timer(mContext);
      ScriptedEndpoint endpoint(mContext, [&](auto& aSocket, int) {
        WriteText(aSocket, std::string(head) + part);
        timer.expires_after(std::chrono::milliseconds(50));
        timer.async_wait(
          [&aSocket](const std::error_code&) { Reset(aSocket); });
      });
      endpoint.mAnswersEarly = true;
      EndpointRequest request = MakeRequest(endpoint.Address());
      request.mBody.assign(kUploadBytes, 'b');
      const auto [result, body] =
        RunRequest(mContext, client, std::move(request));
      CHECK_TEXT(result.mOutcome == TransferOutcome::ConnectionLost, head);
    }
  }
}
