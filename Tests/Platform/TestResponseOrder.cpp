#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibRelay/Timer.h>

#include <CppUTest/TestHarness.h>
#include <array>
#include <cstdio>
#include <cstdlib>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

namespace {

/// What a handler of a request may do with its session.
enum class Write
{
  Whole,
  Begin,
  Event,
  End,
  Abort,
};

constexpr std::array kWrites{ Write::Whole,
                              Write::Begin,
                              Write::Event,
                              Write::End,
                              Write::Abort };
/// Number of writes in an order, unless the environment sets another one.
constexpr int kDefaultDepth = 3;
constexpr char kDepthVariable[] = "ACACIAVALE_ORDER_DEPTH";
/// Time after which the test closes a connection that is still open.
constexpr Duration kOpenTime = std::chrono::milliseconds(3);
constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: a.example\r\n"
                            "Connection: close\r\n\r\n";
constexpr char kEvent[] = "data: event\n\n";

using Order = std::vector<Write>;

/// What the caller may receive, written down independently of the session.
struct Allowed
{
  bool mHasHead = false;
  bool mIsStream = false;
  std::size_t mEvents = 0;
  bool mIsEnded = false;  ///< The response is complete.
  bool mIsBroken = false; ///< The connection is closed before the end.
};

Allowed AllowedFor(const Order& aOrder)
{
  Allowed allowed;
  for (const Write write : aOrder) {
    if (allowed.mIsBroken || allowed.mIsEnded) {
      // An abort after the end may cut off what is not sent yet.
      allowed.mIsBroken = allowed.mIsBroken || write == Write::Abort;
      continue;
    }
    switch (write) {
      case Write::Whole:
        allowed.mIsBroken = allowed.mHasHead;
        allowed.mIsEnded = !allowed.mHasHead;
        allowed.mHasHead = true;
        break;
      case Write::Begin:
        allowed.mIsBroken = allowed.mHasHead;
        allowed.mIsStream = allowed.mIsStream || !allowed.mHasHead;
        allowed.mHasHead = true;
        break;
      case Write::Event:
        allowed.mEvents += allowed.mIsStream ? 1 : 0;
        break;
      case Write::End:
        allowed.mIsEnded = allowed.mIsStream;
        break;
      case Write::Abort:
        allowed.mIsBroken = true;
        break;
    }
  }
  return allowed;
}

/// Whether the bytes are the response or, if it may be broken off, a beginning
/// of it.
bool IsLegal(const std::string& aBytes, const Allowed& aAllowed)
{
  const std::size_t headEnd = aBytes.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return aBytes.empty() && (!aAllowed.mHasHead || aAllowed.mIsBroken);
  }
  if (aBytes.find("HTTP/1.1 ", 1) != std::string::npos) {
    return false;
  }
  std::string body = "whole";
  if (aAllowed.mIsStream) {
    body.clear();
    for (std::size_t event = 0; event < aAllowed.mEvents; ++event) {
      body += "d\r\n" + std::string(kEvent) + "\r\n";
    }
    body += aAllowed.mIsEnded ? "0\r\n\r\n" : "";
  }
  const std::string received = aBytes.substr(headEnd + 4);
  const bool mayBeShorter = aAllowed.mIsBroken || !aAllowed.mIsEnded;
  return mayBeShorter ? body.starts_with(received) : received == body;
}

std::string Describe(const Order& aOrder)
{
  std::string text;
  for (const Write write : aOrder) {
    text += "WBEXA"[static_cast<int>(write)];
  }
  return text;
}

} // namespace

/// All orders in which a request's handler may write to its session.
TEST_GROUP(ResponseOrder)
{
  PlatformFixture mFixture;
  std::vector<std::unique_ptr<Relay::Timer>> mTimers;

  std::string BytesFor(const Order& aOrder)
  {
    Replica replica(
      mFixture.mIoContext, "i-1", [&](Replica&, const auto& aSession) {
        for (const Write write : aOrder) {
          switch (write) {
            case Write::Whole:
              aSession->Send(MakeHead(200), "whole");
              break;
            case Write::Begin:
              aSession->BeginStream(MakeHead(200));
              break;
            case Write::Event:
              aSession->SendChunk(kEvent);
              break;
            case Write::End:
              aSession->EndStream();
              break;
            case Write::Abort:
              aSession->Abort();
              break;
          }
        }
        mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
        mTimers.back()->Start(kOpenTime, [aSession] { aSession->Abort(); });
      });
    return mFixture.ExchangeBytes(replica.Address(), kRequest);
  }
};

TEST(ResponseOrder, IsALegalResponseOrABeginningOfOne)
{
  // Each of the many illegal orders leaves a log line.
  ConfigureBoundedLog(LogLevel::Error, LogFormat::Text, 1);
  const char* const asked = std::getenv(kDepthVariable);
  const int maximumDepth = asked == nullptr ? kDefaultDepth : std::atoi(asked);
  int orders = 0;
  for (int depth = 1; depth <= maximumDepth; ++depth) {
    Order order(static_cast<std::size_t>(depth), kWrites.front());
    std::vector<std::size_t> digits(order.size(), 0);
    for (bool isLast = false; !isLast;) {
      for (std::size_t index = 0; index < digits.size(); ++index) {
        order[index] = kWrites[digits[index]];
      }
      const std::string bytes = BytesFor(order);
      CHECK_TEXT(IsLegal(bytes, AllowedFor(order)),
                 (Describe(order) + ": " + bytes).c_str());
      ++orders;
      std::size_t index = 0;
      while (index < digits.size() && ++digits[index] == kWrites.size()) {
        digits[index++] = 0;
      }
      isLast = index == digits.size();
    }
  }
  FinishBoundedLog();
  std::printf(
    "%d orders of writes to a session, depth %d\n", orders, maximumDepth);
}
