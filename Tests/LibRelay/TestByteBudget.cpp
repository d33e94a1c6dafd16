#include <Acaciavale/LibRelay/ByteBudget.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace Acaciavale::Relay;

namespace {

constexpr std::size_t kMegabyte = 1U << 20;
constexpr std::size_t kLimit = 48 * kMegabyte;
constexpr std::size_t kLargeBody = 4 * kMegabyte;
constexpr std::size_t kSmallBody = 2000;

} // namespace

TEST_GROUP(ByteBudget)
{
  std::shared_ptr<ByteBudget> mBudget = std::make_shared<ByteBudget>(kLimit);
  std::vector<ByteHold> mHolds;

  bool HoldBody(std::size_t aBytes,
                std::int64_t aUrgency = 0,
                const std::string& aAccount = {})
  {
    ByteHold hold;
    const bool isHeld =
      mBudget->TryHoldBody(hold, { aBytes, aUrgency, aAccount });
    mHolds.push_back(std::move(hold));
    return isHeld;
  }

  int HoldBodies(int aCount,
                 std::size_t aBytes,
                 std::int64_t aUrgency = 0,
                 const std::string& aAccount = {})
  {
    int held = 0;
    for (int body = 0; body < aCount; ++body) {
      held += HoldBody(aBytes, aUrgency, aAccount) ? 1 : 0;
    }
    return held;
  }
};

/// Thousand bodies at once.
TEST(ByteBudget, BodiesStayBelowTheLimitAndSmallOnesFindRoom)
{
  const int held = HoldBodies(1000, kLargeBody);
  CHECK(held >= 6);
  CHECK(mBudget->HeldBytes() <= kLimit * 3 / 4);
  LONGS_EQUAL(500, HoldBodies(500, kSmallBody));
  mHolds.clear();
  UNSIGNED_LONGS_EQUAL(0, mBudget->HeldBytes());
}

TEST(ByteBudget, UrgentBodiesFindRoomWhenOthersDoNot)
{
  while (HoldBody(kLargeBody, 5)) {
  }
  CHECK(HoldBody(kLargeBody, 0));
}

TEST(ByteBudget, AnAccountCannotTakeTheRoomOfOthers)
{
  HoldBodies(1000, kLargeBody, 0, "first");
  CHECK(mBudget->HeldBytes() <= kLimit / 2);
  CHECK(HoldBody(kLargeBody, 0, "second"));
  CHECK_FALSE(HoldBody(kLargeBody, 0, "first"));
}

/// A body in chunks grows until it finds no more room.
TEST(ByteBudget, ABodyOfUnknownLengthGrows)
{
  ByteHold hold;
  std::size_t bytes = 0;
  while (mBudget->TryHoldBody(hold, { bytes + kMegabyte, 0, "a" })) {
    bytes += kMegabyte;
  }
  UNSIGNED_LONGS_EQUAL(bytes, mBudget->HeldBytes());
  CHECK(bytes >= kLimit / 4);
  CHECK(bytes <= kLimit / 2);
  hold.Release();
  UNSIGNED_LONGS_EQUAL(0, mBudget->HeldBytes());
}

/// Responses are not refused: their requests have run.
TEST(ByteBudget, ResponsesWaitInTheirOrder)
{
  constexpr std::size_t kResponse = 8 * kMegabyte;
  constexpr int kResponses = 20;
  std::vector<ByteHold> holds(kResponses);
  std::vector<int> begun;
  std::function<void(int)> begin = [&](int aIndex) {
    if (mBudget->TryHoldResponse(
          holds[aIndex], kResponse, [&, aIndex] { begin(aIndex); })) {
      begun.push_back(aIndex);
    }
  };
  bool isReleased = false;
  mBudget->OnRelease([&isReleased] { isReleased = true; });
  std::size_t most = 0;
  for (int index = 0; index < kResponses; ++index) {
    begin(index);
    most = std::max(most, mBudget->HeldBytes());
  }
  // One more than fits into three quarters of the limit.
  LONGS_EQUAL(5, begun.size());
  for (int done = 0; done < kResponses; ++done) {
    CHECK(static_cast<int>(begun.size()) > done);
    LONGS_EQUAL(done, begun[done]);
    holds[done].Release();
    if (isReleased) {
      isReleased = false;
      mBudget->ServeWaiting();
    }
    most = std::max(most, mBudget->HeldBytes());
  }
  LONGS_EQUAL(kResponses, begun.size());
  CHECK(most <= kLimit + kResponse);
  UNSIGNED_LONGS_EQUAL(0, mBudget->HeldBytes());
}

/// All hold a part and want more: each of them ends in its turn.
TEST(ByteBudget, ResponsesOfUnknownLengthEnd)
{
  constexpr int kResponses = 12;
  constexpr std::size_t kResponse = 8 * kMegabyte;
  std::vector<ByteHold> holds(kResponses);
  std::vector<bool> waits(kResponses, false);
  std::vector<bool> hasEnded(kResponses, false);
  int rounds = 0;
  std::size_t most = 0;
  int ended = 0;
  while (ended < kResponses && ++rounds < 1000) {
    for (int index = 0; index < kResponses; ++index) {
      if (waits[index] || hasEnded[index]) {
        continue;
      }
      if (holds[index].Bytes() == kResponse) {
        holds[index].Release();
        hasEnded[index] = true;
        ++ended;
        continue;
      }
      waits[index] =
        !mBudget->TryHoldResponse(holds[index],
                                  holds[index].Bytes() + kMegabyte,
                                  [&waits, index] { waits[index] = false; });
      most = std::max(most, mBudget->HeldBytes());
    }
    mBudget->ServeWaiting();
  }
  LONGS_EQUAL(kResponses, ended);
  CHECK(most <= kLimit + kResponse);
}

TEST(ByteBudget, SmallBodiesFindRoomBesideLargeResponses)
{
  std::vector<ByteHold> holds(10);
  for (ByteHold& hold : holds) {
    mBudget->TryHoldResponse(hold, 8 * kMegabyte, [] {});
  }
  LONGS_EQUAL(1000, HoldBodies(1000, kSmallBody));
}

TEST(ByteBudget, ASharedTextKeepsItsHold)
{
  ByteHold hold;
  CHECK(mBudget->TryHoldBody(hold, { 4, 0, "" }));
  auto text = ShareText("body", std::move(hold));
  const auto second = text;
  text.reset();
  UNSIGNED_LONGS_EQUAL(4, mBudget->HeldBytes());
  STRCMP_EQUAL("body", second->c_str());
}

TEST(ByteBudget, TheLimitFollowsTheMemory)
{
  UNSIGNED_LONGS_EQUAL(48 * kMegabyte, HeldBytesLimit(96 * kMegabyte));
  UNSIGNED_LONGS_EQUAL(8 * kMegabyte, HeldBytesLimit(16 * kMegabyte));
}
