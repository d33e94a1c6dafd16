#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Log.h>

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;

/// Standard output is a pipe that nobody reads.
TEST_GROUP(BlockedLog)
{
  World mWorld;
  int mOutput = -1;
  int mPipe[2] = { -1, -1 };

  void setup() override
  {
    mOutput = dup(STDOUT_FILENO);
    CHECK(pipe(mPipe) == 0);
    CHECK(fcntl(mPipe[0], F_SETFL, O_NONBLOCK) == 0);
    CHECK(fcntl(mPipe[1], F_SETFL, O_NONBLOCK) == 0);
    char byte = '.';
    while (write(mPipe[1], &byte, 1) == 1) {
    }
    CHECK(fcntl(mPipe[1], F_SETFL, 0) == 0);
    fflush(stdout);
    CHECK(dup2(mPipe[1], STDOUT_FILENO) == STDOUT_FILENO);
    ConfigureBoundedLog(LogLevel::Info, LogFormat::Text, kNoBudget);
  }

  void teardown() override
  {
    FinishBoundedLog();
    dup2(mOutput, STDOUT_FILENO);
    for (const int file : { mOutput, mPipe[0], mPipe[1] }) {
      close(file);
    }
    ConfigureLog(LogLevel::Error, LogFormat::Text);
  }

  /// More lines a second than a test writes.
  static constexpr int kNoBudget = 1000000;

  static void LogLines(int aCount)
  {
    for (int line = 0; line < aCount; ++line) {
      Log(LogLevel::Info, "test", "A line.");
    }
  }
};

TEST(BlockedLog, RequestsAreServedAndTheVmEnds)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.StartNode();
  LogLines(5000);
  for (int request = 0; request < 50; ++request) {
    LONGS_EQUAL(
      200, mWorld.Call({ "POST", "/once/x", "body", {} }).mHead.result_int());
  }
  mWorld.mNode.reset();
  FinishBoundedLog();
}

TEST(BlockedLog, WhatWasDroppedIsCountedOnceThePipeIsRead)
{
  LogLines(5000);
  std::string text;
  char block[4096];
  mWorld.Until([&] {
    const ssize_t got = read(mPipe[0], block, sizeof(block));
    text.append(block, got > 0 ? static_cast<std::size_t>(got) : 0);
    LogLines(1);
    mWorld.RunFor(std::chrono::milliseconds(1));
    return text.find("Lines were dropped. count=") != std::string::npos;
  });
  CHECK(text.find("A line.") != std::string::npos);
}
