#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// The bytes from outside that a process holds at once: bodies of requests, and
/// responses on their way to callers. One budget for all of them keeps the
/// process below its limit on memory.
namespace Acaciavale::Relay {

/// How much of the budget is in use.
struct BudgetUse
{
  std::size_t mLimitBytes = 0;
  std::size_t mHeldBytes = 0;            ///< By requests and responses.
  std::size_t mHeldForRequestsBytes = 0; ///< By requests alone.
  std::size_t mHeldForAccountBytes = 0;  ///< By requests of the account.

  auto operator<=>(const BudgetUse&) const = default;
};

/// The request whose body is to be held.
struct BodyDemand
{
  std::size_t mBytes = 0;
  std::int64_t mUrgency = 0; ///< From 0 (most urgent) to 9.
  std::string mAccount;      ///< Client account; empty: none is known.

  auto operator<=>(const BodyDemand&) const = default;
};

/// Whether the body finds room. A body gets a share of the room that is left, a
/// smaller one if it is less urgent, so that small and urgent ones find room
/// when large ones do not.
bool MayHoldBody(const BudgetUse& aUse, const BodyDemand& aDemand);

/// Whether a response may hold aBytes more. One response at a time may exceed
/// the limit, or responses that wait for each other's room would never end.
bool MayHoldResponse(const BudgetUse& aUse,
                     std::size_t aBytes,
                     bool aMayExceedLimit);

class ByteBudget;

/// Bytes that count against a budget until they are released.
class ByteHold
{
public:
  ByteHold() = default;
  ~ByteHold() { Release(); }
  ByteHold(ByteHold&& aOther) noexcept { *this = std::move(aOther); }
  ByteHold& operator=(ByteHold&& aOther) noexcept;
  ByteHold(const ByteHold&) = delete;
  ByteHold& operator=(const ByteHold&) = delete;

  void Release();
  std::size_t Bytes() const { return mBytes; }

private:
  friend class ByteBudget;
  std::shared_ptr<ByteBudget> mBudget;
  std::size_t mBytes = 0;
  bool mIsRequest = false;
  bool mExceedsLimit = false;
  std::string mAccount;
};

/// A text that counts against a budget while anyone refers to it.
struct HeldText
{
  std::string mText;
  ByteHold mHold;
};

/// Returns the text, which keeps the hold.
std::shared_ptr<const std::string> ShareText(std::string aText,
                                             ByteHold aHold = {});

/// Not thread-safe.
class ByteBudget : public std::enable_shared_from_this<ByteBudget>
{
public:
  explicit ByteBudget(std::size_t aLimitBytes);

  void SetLimit(std::size_t aLimitBytes) { mUse.mLimitBytes = aLimitBytes; }
  std::size_t LimitBytes() const { return mUse.mLimitBytes; }
  std::size_t HeldBytes() const { return mUse.mHeldBytes; }

  /// Grows the hold to the bytes of the demand. Returns false if there is no
  /// room; the hold stays as it was.
  bool TryHoldBody(ByteHold& aHold, const BodyDemand& aDemand);

  /// Grows the hold to aBytes. Returns false if there is no room: the response
  /// must not be read further, and ServeWaiting calls aOnRoom once, when it may
  /// ask again. aOnRoom may be called after the response has ended.
  bool TryHoldResponse(ByteHold& aHold,
                       std::size_t aBytes,
                       std::function<void()> aOnRoom);

  /// Sets a handler that is called when bytes are released while responses
  /// wait. It must not call ServeWaiting itself, but soon afterwards.
  void OnRelease(std::function<void()> aHandler)
  {
    mOnRelease = std::move(aHandler);
  }

  /// Lets the waiting responses ask again, in the order in which they came.
  void ServeWaiting();

private:
  friend class ByteHold;
  void Grow(ByteHold& aHold, std::size_t aBytes);
  void Remove(const ByteHold& aHold);

  BudgetUse mUse;
  std::map<std::string, std::size_t> mHeldByAccount;
  std::deque<std::function<void()>> mWaiting;
  std::function<void()> mOnRelease;
  bool mIsLimitExceeded = false; ///< By a response.
  bool mIsServing = false;       ///< ServeWaiting is running.
};

/// Limit for the bytes that a process holds, by the memory that it may use.
std::size_t HeldBytesLimit(std::size_t aMemoryBytes);

} // namespace Acaciavale::Relay
