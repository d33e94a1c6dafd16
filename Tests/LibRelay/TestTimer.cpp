#include <Acaciavale/LibRelay/Timer.h>

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>
#include <memory>
#include <thread>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(Timer)
{
  boost::asio::io_context mIoContext{ 1 };
  int mCalls = 0;
};

TEST(Timer, CallsItsHandlerOnce)
{
  Timer timer(mIoContext);
  timer.Start(std::chrono::milliseconds(1), [this] { mCalls += 1; });
  mIoContext.run();
  LONGS_EQUAL(1, mCalls);
}

TEST(Timer, CallsNoHandlerAfterItsDestruction)
{
  auto timer = std::make_unique<Timer>(mIoContext);
  timer->Start(std::chrono::milliseconds(1), [this] { mCalls += 1; });
  boost::asio::post(mIoContext, [&timer] {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    timer.reset();
  });
  mIoContext.run();
  LONGS_EQUAL(0, mCalls);
}

/// Two timers expire at once, and the first handler starts the second anew.
TEST(Timer, CallsNoHandlerOfAnEarlierStart)
{
  Timer second(mIoContext);
  Timer first(mIoContext);
  int earlierCalls = 0;
  second.Start(std::chrono::milliseconds(50), [&] { earlierCalls += 1; });
  first.Start(std::chrono::milliseconds(1), [&] {
    second.Start(std::chrono::milliseconds(1), [this] { mCalls += 1; });
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  mIoContext.run();
  LONGS_EQUAL(0, earlierCalls);
  LONGS_EQUAL(1, mCalls);
}

/// The event loop is late all the time, as on a VM with too much to do.
TEST(Timer, ALimitEndsAlsoUnderLastingOverload)
{
  Timer timer(mIoContext);
  Timer overload(mIoContext);
  std::function<void()> beBusy = [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    if (mCalls == 0) {
      overload.Start({}, beBusy);
    }
  };
  overload.Start({}, beBusy);
  timer.StartTimeout(
    std::chrono::milliseconds(10),
    [this] { mCalls += 1; },
    std::chrono::milliseconds(10));
  mIoContext.run_for(std::chrono::milliseconds(1500));
  LONGS_EQUAL(1, mCalls);
}

TEST(Timer, ALimitBeginsAnewAfterAStall)
{
  Timer timer(mIoContext);
  timer.StartTimeout(
    std::chrono::milliseconds(10),
    [this] { mCalls += 1; },
    std::chrono::milliseconds(200));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  mIoContext.run_for(std::chrono::milliseconds(100));
  LONGS_EQUAL(0, mCalls);
  mIoContext.run_for(std::chrono::milliseconds(300));
  LONGS_EQUAL(1, mCalls);
}
