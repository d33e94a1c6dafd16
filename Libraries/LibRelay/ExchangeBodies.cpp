#include "Exchange.h"
#include "TextMemory.h"

#include <algorithm>
#include <charconv>

/// The part of Exchange that keeps the body of a response until it is complete.
namespace Acaciavale::Relay {

namespace http = boost::beast::http;

namespace {

/// Maximum size of a response that is buffered until it is complete. A larger
/// response is considered a failure; the services of a deployment return
/// smaller ones.
constexpr std::size_t kMaximumBufferedBytes = 8U << 20;
/// Bytes that one read of a response adds at most.
constexpr std::size_t kReadBytes = 8U << 10;
/// Room for a body that may grow beyond that is taken in steps.
constexpr std::size_t kSmallBodyBytes = 24U << 10;
constexpr std::size_t kMediumStepBytes = 32U << 10;
/// The steps beyond that are larger, as each copies the body.
constexpr std::size_t kMediumBodyBytes = 256U << 10;
constexpr std::size_t kLargeStepBytes = 256U << 10;

/// The capacity of a text that holds aBytes.
std::size_t InSteps(std::size_t aBytes)
{
  if (aBytes <= kSmallBodyBytes) {
    return aBytes;
  }
  const std::size_t step =
    aBytes <= kMediumBodyBytes ? kMediumStepBytes : kLargeStepBytes;
  return (aBytes + step - 1) / step * step;
}

/// The length of the body that the head states, if any.
std::optional<std::size_t> StatedLength(const ResponseHead& aHead)
{
  const auto text = aHead[http::field::content_length];
  std::size_t length = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), length);
  const bool isNumber = !text.empty() && parsed.ec == std::errc() &&
                        parsed.ptr == text.data() + text.size();
  return isNumber ? std::optional<std::size_t>(length) : std::nullopt;
}

} // namespace

/// Takes the room for the whole body, if the head states its length.
void Exchange::HoldStatedLength(Attempt& aAttempt)
{
  const auto length = StatedLength(aAttempt.mHead);
  aAttempt.mMaximumBodyBytes =
    std::min(length.value_or(kMaximumBufferedBytes), kMaximumBufferedBytes);
  HoldResponse(aAttempt, length ? aAttempt.mMaximumBodyBytes : 0);
}

void Exchange::OnBody(Attempt& aAttempt, std::string_view aBytes)
{
  if (aAttempt.mIsStream) {
    OnStreamBytes(aAttempt, aBytes);
    return;
  }
  if (aAttempt.mBody.size() + aBytes.size() > kMaximumBufferedBytes) {
    RejectAnswer(aAttempt, "body too large");
    return;
  }
  aAttempt.mBody += aBytes;
  HoldNextRead(aAttempt);
}

/// Takes the room before the next bytes are read, so that a body has no more
/// memory than is held for it.
void Exchange::HoldNextRead(Attempt& aAttempt)
{
  HoldResponse(
    aAttempt,
    std::min(aAttempt.mBody.size() + kReadBytes, aAttempt.mMaximumBodyBytes));
}

void Exchange::HoldResponse(Attempt& aAttempt, std::size_t aBodyBytes)
{
  const std::size_t bytes = aAttempt.mHeadBytes + InSteps(aBodyBytes) +
                            aAttempt.mEventParser.IncompleteEvent().capacity() +
                            aAttempt.mHeldComments.capacity();
  const auto onRoom = [weak = weak_from_this(), &aAttempt, aBodyBytes] {
    const auto self = weak.lock();
    if (!self || self->mIsOver || aAttempt.mIsOver) {
      return;
    }
    self->HoldResponse(aAttempt, aBodyBytes);
    if (!aAttempt.mIsAwaitingRoom) {
      self->ArmSilenceTimer(aAttempt, kSilenceRecheckDelay);
    }
  };
  aAttempt.mIsAwaitingRoom =
    !mState->mBudget->TryHoldResponse(aAttempt.mBodyHold, bytes, onRoom);
  if (!aAttempt.mIsAwaitingRoom && aBodyBytes > kSmallBodyBytes) {
    ReserveExactly(aAttempt.mBody, InSteps(aBodyBytes));
  }
  UpdatePause(aAttempt);
}

/// Reads the response unless something keeps it from being read.
void Exchange::UpdatePause(Attempt& aAttempt)
{
  const bool isPaused = aAttempt.mIsAwaitingRoom || aAttempt.mIsAwaitingCaller;
  if (isPaused != aAttempt.mCall->IsPaused()) {
    aAttempt.mCall->SetPaused(isPaused);
  }
}

} // namespace Acaciavale::Relay
