#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Log.h>

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;

/// Standard output is a full pipe without a reader, so that writing to it would
/// block. This must not block the node.
TEST_GROUP(BlockedLog)
{
  PlatformFixture mFixture;
  int mSavedStdout = -1;
  int mPipe[2] = { -1, -1 };

  void setup() override
  {
    mSavedStdout = dup(STDOUT_FILENO);
    CHECK(pipe(mPipe) == 0);
    CHECK(fcntl(mPipe[0], F_SETFL, O_NONBLOCK) == 0);
    CHECK(fcntl(mPipe[1], F_SETFL, O_NONBLOCK) == 0);
    char byte = '.';
    while (write(mPipe[1], &byte, 1) == 1) {
    }
    CHECK(fcntl(mPipe[1], F_SETFL, 0) == 0);
    fflush(stdout);
    CHECK(dup2(mPipe[1], STDOUT_FILENO) == STDOUT_FILENO);
    ConfigureBoundedLog(
      LogLevel::Info, LogFormat::Text, kUnlimitedLinesPerSecond);
  }

  void teardown() override
  {
    FinishBoundedLog();
    dup2(mSavedStdout, STDOUT_FILENO);
    for (const int descriptor : { mSavedStdout, mPipe[0], mPipe[1] }) {
      close(descriptor);
    }
    ConfigureLog(LogLevel::Error, LogFormat::Text);
  }

  /// More lines per second than a test writes.
  static constexpr int kUnlimitedLinesPerSecond = 1000000;

  static void WriteLogLines(int aCount)
  {
    for (int line = 0; line < aCount; ++line) {
      Log(LogLevel::Info, "test", "A line.");
    }
  }
};

TEST(BlockedLog, ServesRequestsAndShutsDown)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.StartNode();
  WriteLogLines(5000);
  for (int request = 0; request < 50; ++request) {
    LONGS_EQUAL(
      200, mFixture.Call({ "POST", "/once/x", "body", {} }).mHead.result_int());
  }
  mFixture.mNode.reset();
  FinishBoundedLog();
}

TEST(BlockedLog, LogsTheNumberOfDroppedLinesOnceThePipeIsRead)
{
  WriteLogLines(5000);
  std::string text;
  char buffer[4096];
  mFixture.RunUntil([&] {
    const ssize_t byteCount = read(mPipe[0], buffer, sizeof(buffer));
    text.append(buffer,
                byteCount > 0 ? static_cast<std::size_t>(byteCount) : 0);
    WriteLogLines(1);
    mFixture.RunFor(std::chrono::milliseconds(1));
    return text.find("Lines were dropped. count=") != std::string::npos;
  });
  CHECK(text.find("A line.") != std::string::npos);
}
