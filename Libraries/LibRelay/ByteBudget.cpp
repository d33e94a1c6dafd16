#include <Acaciavale/LibRelay/ByteBudget.h>

#include <algorithm>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Share of the limit that requests, or responses, may hold at most. What they
/// leave is always there for the others.
constexpr double kLargestShare = 0.75;
/// Share of the limit that the requests of one account may hold.
constexpr double kAccountShare = 0.5;
/// Share of the room that is left that one body may take, if it is of the most
/// urgent kind, and by how much it is smaller with each step of urgency.
constexpr double kShareOfRoom = 0.5;
constexpr double kShareOfRoomPerUrgency = 0.03;
/// A response of at most this size, with room for one read, never waits for
/// room. Their number is bounded by that of the connections.
constexpr std::size_t kSmallResponseBytes = 24U << 10;
/// Memory that the process needs for itself: program, settings, the copy of
/// the store's entries, logs.
constexpr std::size_t kOwnBytes = 32U << 20;
/// Share of the other memory that may be held. The rest is for the connections'
/// buffers and for what the allocator cannot use.
constexpr double kHeldShare = 0.75;
/// Lowest limit, two of the largest bodies of the deployments.
constexpr std::size_t kLowestLimitBytes = 8U << 20;

std::size_t Left(std::size_t aLimit, std::size_t aHeld)
{
  return aLimit - std::min(aLimit, aHeld);
}

std::size_t ShareOf(std::size_t aBytes, double aShare)
{
  return static_cast<std::size_t>(aShare * static_cast<double>(aBytes));
}

} // namespace

bool MayHoldBody(const BudgetUse& aUse, const BodyDemand& aDemand)
{
  const std::size_t most = ShareOf(aUse.mLimitBytes, kLargestShare);
  std::size_t room =
    std::max(std::min(Left(aUse.mLimitBytes, aUse.mHeldBytes),
                      Left(most, aUse.mHeldForRequestsBytes)),
             Left(aUse.mLimitBytes - most, aUse.mHeldForRequestsBytes));
  if (!aDemand.mAccount.empty()) {
    room = std::min(room,
                    Left(ShareOf(aUse.mLimitBytes, kAccountShare),
                         aUse.mHeldForAccountBytes));
  }
  const double share = kShareOfRoom - kShareOfRoomPerUrgency *
                                        static_cast<double>(aDemand.mUrgency);
  return aDemand.mBytes <= ShareOf(room, share);
}

bool MayHoldResponse(const BudgetUse& aUse,
                     std::size_t aBytes,
                     bool aMayExceedLimit)
{
  const std::size_t room =
    std::min(Left(aUse.mLimitBytes, aUse.mHeldBytes),
             Left(ShareOf(aUse.mLimitBytes, kLargestShare),
                  aUse.mHeldBytes - aUse.mHeldForRequestsBytes));
  return aMayExceedLimit || aBytes <= room;
}

ByteHold& ByteHold::operator=(ByteHold&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
    mIsRequest = aOther.mIsRequest;
    mExceedsLimit = std::exchange(aOther.mExceedsLimit, false);
    mAccount = std::move(aOther.mAccount);
  }
  return *this;
}

void ByteHold::Release()
{
  if (const auto budget = std::move(mBudget)) {
    budget->Remove(*this);
  }
  mBudget.reset();
  mBytes = 0;
  mExceedsLimit = false;
}

std::shared_ptr<const std::string> ShareText(std::string aText, ByteHold aHold)
{
  const auto held = std::make_shared<const HeldText>(
    HeldText{ std::move(aText), std::move(aHold) });
  return { held, &held->mText };
}

ByteBudget::ByteBudget(std::size_t aLimitBytes)
{
  mUse.mLimitBytes = aLimitBytes;
}

void ByteBudget::Grow(ByteHold& aHold, std::size_t aBytes)
{
  const std::size_t added = aBytes - aHold.mBytes;
  mUse.mHeldBytes += added;
  if (aHold.mIsRequest) {
    mUse.mHeldForRequestsBytes += added;
    if (!aHold.mAccount.empty()) {
      mHeldByAccount[aHold.mAccount] += added;
    }
  }
  aHold.mBytes = aBytes;
  aHold.mBudget = shared_from_this();
}

void ByteBudget::Remove(const ByteHold& aHold)
{
  mUse.mHeldBytes -= aHold.mBytes;
  if (aHold.mIsRequest) {
    mUse.mHeldForRequestsBytes -= aHold.mBytes;
    const auto account = mHeldByAccount.find(aHold.mAccount);
    if (account != mHeldByAccount.end()) {
      account->second -= aHold.mBytes;
      if (account->second == 0) {
        mHeldByAccount.erase(account);
      }
    }
  }
  if (aHold.mExceedsLimit) {
    mIsLimitExceeded = false;
  }
  if (!mWaiting.empty() && mOnRelease) {
    mOnRelease();
  }
}

bool ByteBudget::TryHoldBody(ByteHold& aHold, const BodyDemand& aDemand)
{
  if (aDemand.mBytes <= aHold.mBytes) {
    return true;
  }
  BudgetUse use = mUse;
  const auto account = mHeldByAccount.find(aDemand.mAccount);
  use.mHeldForAccountBytes =
    account == mHeldByAccount.end() ? 0 : account->second;
  BodyDemand added = aDemand;
  added.mBytes -= aHold.mBytes;
  if (!MayHoldBody(use, added)) {
    return false;
  }
  aHold.mIsRequest = true;
  if (aHold.mAccount.empty() && !aDemand.mAccount.empty()) {
    aHold.mAccount = aDemand.mAccount;
    mHeldByAccount[aHold.mAccount] += aHold.mBytes;
  }
  Grow(aHold, aDemand.mBytes);
  return true;
}

bool ByteBudget::TryHoldResponse(ByteHold& aHold,
                                 std::size_t aBytes,
                                 std::function<void()> aOnRoom)
{
  if (aBytes <= aHold.mBytes) {
    return true;
  }
  const bool isFirst = mWaiting.empty();
  const bool mayExceed = aHold.mExceedsLimit || (isFirst && !mIsLimitExceeded);
  const bool isSmall = aBytes <= kSmallResponseBytes;
  const bool hasRoom =
    isFirst && MayHoldResponse(mUse, aBytes - aHold.mBytes, mayExceed);
  if (!isSmall && !aHold.mExceedsLimit && !hasRoom) {
    mWaiting.push_back(std::move(aOnRoom));
    return false;
  }
  const bool exceeds =
    !isSmall && !MayHoldResponse(mUse, aBytes - aHold.mBytes, false);
  if (exceeds) {
    aHold.mExceedsLimit = true;
    mIsLimitExceeded = true;
  }
  Grow(aHold, aBytes);
  return true;
}

void ByteBudget::ServeWaiting()
{
  if (mIsServing) {
    return;
  }
  mIsServing = true;
  std::deque<std::function<void()>> waiting = std::move(mWaiting);
  mWaiting.clear();
  while (!waiting.empty() && mWaiting.empty()) {
    const std::function<void()> onRoom = std::move(waiting.front());
    waiting.pop_front();
    onRoom();
  }
  // NOTE: The one that found no room stays the first.
  mWaiting.insert(mWaiting.end(),
                  std::make_move_iterator(waiting.begin()),
                  std::make_move_iterator(waiting.end()));
  mIsServing = false;
}

std::size_t HeldBytesLimit(std::size_t aMemoryBytes)
{
  return std::max(kLowestLimitBytes,
                  ShareOf(Left(aMemoryBytes, kOwnBytes), kHeldShare));
}

} // namespace Acaciavale::Relay
