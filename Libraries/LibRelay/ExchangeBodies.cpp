#include "Exchange.h"

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
/// Room for responses that are larger is taken in steps of this size.
constexpr std::size_t kReadAheadBytes = 256U << 10;

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
  if (const auto length = StatedLength(aAttempt.mHead)) {
    HoldResponse(aAttempt, std::min(*length, kMaximumBufferedBytes));
  }
}

void Exchange::OnBody(Attempt& aAttempt, std::string_view aBytes)
{
  if (aAttempt.mIsStream) {
    OnStreamBytes(aAttempt, aBytes);
    return;
  }
  if (aAttempt.mBody.size() + aBytes.size() > kMaximumBufferedBytes) {
    aAttempt.mCall->Cancel();
    OnEnd(aAttempt, CallResult::InvalidHttp);
    return;
  }
  aAttempt.mBody += aBytes;
  HoldResponse(aAttempt, aAttempt.mBody.size());
}

bool Exchange::HoldResponse(Attempt& aAttempt, std::size_t aBytes)
{
  // NOTE: Room in steps, as the text grows by more than each read.
  const std::size_t bytes =
    aBytes <= kReadAheadBytes
      ? aBytes
      : (aBytes + kReadAheadBytes - 1) / kReadAheadBytes * kReadAheadBytes;
  const auto onRoom = [weak = weak_from_this(), &aAttempt, aBytes] {
    const auto self = weak.lock();
    if (!self || self->mIsOver || aAttempt.mIsOver) {
      return;
    }
    if (self->HoldResponse(aAttempt, aBytes)) {
      self->ArmSilenceTimer(aAttempt, kSilenceRecheckDelay);
      aAttempt.mCall->SetPaused(false);
    }
  };
  if (!mState->mBudget->TryHoldResponse(aAttempt.mBodyHold, bytes, onRoom)) {
    aAttempt.mCall->SetPaused(true);
    return false;
  }
  if (bytes > kReadAheadBytes) {
    aAttempt.mBody.reserve(bytes);
  }
  return true;
}

} // namespace Acaciavale::Relay
