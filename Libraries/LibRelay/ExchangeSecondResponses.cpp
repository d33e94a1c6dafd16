#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

/// The part of Exchange that deals with endpoints that respond twice.
namespace Acaciavale::Relay {

bool Exchange::MayHoldSecondResponse(const Attempt& aAttempt) const
{
  return EndsWithConnection(aAttempt.mHead) &&
         aAttempt.mBody.size() <= kMaximumComparedBytes &&
         HasStatusLine(std::string_view(aAttempt.mBody)
                         .substr(aAttempt.mEventParser.ParsedBytes()));
}

/// Removes a second response from the end of the body, and compares it with the
/// first one.
void Exchange::CutSecondResponse(Attempt& aAttempt)
{
  const std::size_t begin =
    aAttempt.mIsStream ? aAttempt.mEventParser.ParsedBytes() : 0;
  if (begin >= aAttempt.mBody.size()) {
    return;
  }
  // NOTE: An endpoint that refuses a request may omit its id.
  const bool isRefusal = aAttempt.mResponseInfo.mNotExecuted;
  const bool endsWithConnection = EndsWithConnection(aAttempt.mHead);
  const auto isHeadOfRequest = [&](const ResponseHead& aHead) {
    const ResponseInfo info = mState->mCodec.mDecodeResponse(aHead, mRequest);
    const bool isFurtherRefusal =
      endsWithConnection && info.mNotExecuted &&
      aHead.result() != boost::beast::http::status::misdirected_request;
    return isRefusal || info.mMatchesRequest || isFurtherRefusal;
  };
  const auto second =
    FindSecondResponse(std::string_view(aAttempt.mBody).substr(begin),
                       aAttempt.mHead,
                       isHeadOfRequest);
  // NOTE: A body with a length or chunks may end with a quotation.
  const bool isQuotation =
    second && !second->mHead && !endsWithConnection &&
    aAttempt.mBody.find('\n', begin + second->mOffset) == std::string::npos;
  if (!second || isQuotation) {
    return;
  }
  aAttempt.mBody.resize(begin + second->mOffset);
  aAttempt.mFirstResponse = CompareResponses(aAttempt.mBody, *second);
  if (aAttempt.mHead.count(boost::beast::http::field::content_length) > 0) {
    // NOTE: The second response stands in the place of the rest of the first.
    aAttempt.mFirstResponse = FirstResponse::Incomplete;
  } else if (second->mHead &&
             second->mHead->result() != aAttempt.mHead.result()) {
    aAttempt.mFirstResponse = FirstResponse::Unknown;
  }
  if (isRefusal && second->mHead &&
      mState->mCodec.mDecodeResponse(*second->mHead, mRequest).mNotExecuted) {
    aAttempt.mFirstResponse = FirstResponse::Complete;
  }
  mState->mMetrics.Count(
    "acaciavale_relay_second_responses_total",
    { { "pool", mPool },
      { "first", std::string(Describe(*aAttempt.mFirstResponse)) } });
  Log(LogLevel::Warning,
      "relay",
      "An endpoint sent a second response to a request.",
      { { "id", mRequest.mId },
        { "endpoint", aAttempt.mEndpoint->mRecord.mId },
        { "first", std::string(Describe(*aAttempt.mFirstResponse)) },
        { "first-bytes", std::to_string(aAttempt.mBody.size()) },
        { "second-bytes", std::to_string(second->mBody.size()) } });
}

/// What was received of a stream behind its last event, without a second
/// response.
std::string_view Exchange::BytesAfterEvents(const Attempt& aAttempt) const
{
  return aAttempt.mFirstResponse
           ? std::string_view(aAttempt.mBody)
               .substr(aAttempt.mEventParser.ParsedBytes())
           : std::string_view(aAttempt.mEventParser.IncompleteEvent());
}

/// Whether an endpoint that states that it did not execute the request also
/// sent something that may be an answer.
bool Exchange::IsRefusalDoubtful(const Attempt& aAttempt) const
{
  if (IsSuccess(aAttempt.mHead)) {
    return true;
  }
  if (aAttempt.mFirstResponse) {
    return aAttempt.mFirstResponse != FirstResponse::Complete;
  }
  const std::string_view excess = aAttempt.mCall->ExcessBytes();
  if (excess.empty()) {
    return false;
  }
  const auto second = FindSecondResponse(
    excess, aAttempt.mHead, [](const ResponseHead&) { return true; });
  return !second || !second->mHead ||
         !mState->mCodec.mDecodeResponse(*second->mHead, mRequest).mNotExecuted;
}

} // namespace Acaciavale::Relay
