#include "Exchange.h"

#include <algorithm>
#include <utility>

/// The part of Exchange that queries candidates before the first attempt. The
/// decisions are in CandidateInquiry.
namespace Acaciavale::Relay {

bool Exchange::MayInquire() const
{
  const Pool* const pool = FindPool(*mSettings, mPool);
  // NOTE: A request that leaves the queue takes the place that has come free.
  const bool isFirstChoice =
    mAttempts.empty() && !mQueueTicket && (!mInquiry || !mInquiry->mIsOver);
  return isFirstChoice && pool != nullptr && !pool->mHealthPath.empty() &&
         mState->mCodec.mEncodeHealthQuery &&
         mState->mCodec.mDecodeHealthAnswer &&
         mState->mRegistry.ReportsPace(mPool);
}

bool Exchange::BeginInquiry(const EndpointSelection& aSelection)
{
  if (mInquiry || !MayInquire()) {
    return false;
  }
  std::vector<std::shared_ptr<Endpoint>> ranked{ aSelection.mEndpoint };
  for (const RankedEndpoint& candidate : aSelection.mRanked) {
    if (candidate.mEndpoint != aSelection.mEndpoint) {
      ranked.push_back(candidate.mEndpoint);
    }
  }
  const TimePoint now = MonotonicNow();
  InquiryQuery query;
  query.mIsFirstAttempt = mAttempts.empty();
  query.mHasHealthPath = true;
  query.mReportsPace = true;
  query.mCandidates = ranked.size();
  query.mPromptSeconds =
    mState->mRegistry.LowQuartilePromptSeconds(mPool, AttemptWorkFor(mModel));
  query.mAnswerSeconds =
    UsualAnswerSeconds(mState->mInquiryTimings[mPool], now);
  query.mGoalSecondsLeft = std::min(
    SecondsLeft(), InSeconds(mRoute->mFirstEventGoal - (now - mArrivedAt)));
  const std::size_t count = CandidatesToInquire(query);
  if (count == 0) {
    return false;
  }
  if (!TryUsePermit(mState->mInquiryPermits, now)) {
    mState->mMetrics.Count("acaciavale_relay_inquiries_total",
                           { { "pool", mPool }, { "outcome", "over-limit" } });
    return false;
  }
  mInquiry = std::make_unique<Inquiry>(mState->mLoop);
  mInquiry->mStartedAt = now;
  mInquiry->mLimit = InquiryTimeout(query);
  const std::string path = FindPool(*mSettings, mPool)->mHealthPath;
  for (std::size_t index = 0; index < count; ++index) {
    mInquiry->mCandidates.push_back({ ranked[index], nullptr });
    mInquiry->mOnly.push_back(ranked[index].get());
    QueryCandidate(index, path);
  }
  mInquiry->mTimer.Start(mInquiry->mLimit, [self = shared_from_this()] {
    self->ContinueInquiry(true);
  });
  return true;
}

void Exchange::QueryCandidate(std::size_t aIndex,
                              const std::string& aHealthPath)
{
  Inquiry::Candidate& candidate = mInquiry->mCandidates[aIndex];
  const EndpointRecord& record = candidate.mEndpoint->mRecord;
  CallOptions call;
  call.mAddress = record.mAddress;
  call.mHead =
    mState->mCodec.mEncodeHealthQuery(record.mId, record.mAddress, aHealthPath);
  call.mConnectTimeout = mInquiry->mLimit;
  CallHandlers handlers;
  handlers.mOnHead = [self = shared_from_this(),
                      aIndex](const ResponseHead& aHead) {
    self->OnInquiryAnswer(aIndex,
                          self->mState->mCodec.mDecodeHealthAnswer(aHead));
  };
  handlers.mOnBody = [](std::string_view) {};
  handlers.mOnEnd = [self = shared_from_this(), aIndex](CallResult aResult) {
    if (IsBroken(aResult)) {
      Inquiry::Candidate& broken = self->mInquiry->mCandidates[aIndex];
      broken.mFailure = BreakReason(*broken.mCall);
      self->CountBrokenAnswer(broken.mFailure);
    }
    self->OnInquiryAnswer(aIndex, {});
  };
  candidate.mCall =
    OutboundCall::Start(mState->mLoop, std::move(call), std::move(handlers));
}

void Exchange::OnInquiryAnswer(std::size_t aIndex, const HealthAnswer& aAnswer)
{
  if (mIsOver || mInquiry->mIsOver) {
    return;
  }
  Inquiry::Candidate& candidate = mInquiry->mCandidates[aIndex];
  if (candidate.mAnswer != InquiryAnswer::Open) {
    return;
  }
  // NOTE: Only the head is needed.
  candidate.mCall->Cancel();
  candidate.mAnswer = InquiryAnswer::Failed;
  if (aAnswer.mIsElsewhere) {
    candidate.mAnswer = InquiryAnswer::Elsewhere;
  } else if (aAnswer.mLoad) {
    const TimePoint now = MonotonicNow();
    candidate.mAnswer = InquiryAnswer::Reported;
    candidate.mPace = aAnswer.mLoad->mPace;
    mState->mRegistry.RecordLoad(*candidate.mEndpoint, *aAnswer.mLoad, now);
    InquiryTiming& timing = mState->mInquiryTimings[mPool];
    timing = WithAnswer(timing, now - mInquiry->mStartedAt, now);
  }
  ContinueInquiry(false);
}

void Exchange::ContinueInquiry(bool aIsTimeUp)
{
  if (mIsOver || mInquiry->mIsOver) {
    return;
  }
  const EndpointSelection ranking = SelectEndpoint();
  std::vector<InquiredCandidate> candidates;
  for (const Inquiry::Candidate& candidate : mInquiry->mCandidates) {
    InquiredCandidate& inquired = candidates.emplace_back();
    inquired.mAnswer = candidate.mAnswer;
    for (const RankedEndpoint& ranked : ranking.mRanked) {
      if (ranked.mEndpoint == candidate.mEndpoint) {
        inquired.mCost = ranked.mScore;
      }
    }
  }
  const InquiryDecision decision = DecideByAnswers(candidates, aIsTimeUp);
  if (!decision.mIsDecided) {
    return;
  }
  EndInquiry(decision.mOutcome);
  // NOTE: The VM may have begun to stop, and another request with the same
  //       prompt may have crashed an endpoint meanwhile.
  if (RefuseUnsafePrompt() || RefuseLate()) {
    return;
  }
  if (decision.mIndex) {
    mInquiry->mOnly = {
      mInquiry->mCandidates[*decision.mIndex].mEndpoint.get()
    };
    const EndpointSelection selection = SelectEndpoint();
    mInquiry->mOnly.clear();
    if (selection.mEndpoint) {
      StartAttempt(selection);
      return;
    }
  }
  Dispatch();
}

void Exchange::EndInquiry(std::string_view aOutcome)
{
  if (!mInquiry || mInquiry->mIsOver) {
    return;
  }
  mInquiry->mIsOver = true;
  mInquiry->mTimer.Cancel();
  mInquiry->mOnly.clear();
  const TimePoint now = MonotonicNow();
  mAttemptTrace += " [asked";
  for (const Inquiry::Candidate& candidate : mInquiry->mCandidates) {
    candidate.mCall->Cancel();
    mAttemptTrace +=
      ' ' + candidate.mEndpoint->mRecord.mId + '=' +
      (candidate.mPace ? std::to_string(*candidate.mPace).substr(0, 4) : "-");
    if (!candidate.mFailure.empty()) {
      mAttemptTrace += " (" + candidate.mFailure + ')';
    }
  }
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                          mInquiry->mStartedAt);
  mAttemptTrace += ' ' + std::string(aOutcome) + ' ' +
                   std::to_string(milliseconds.count()) + "ms]";
  mState->mMetrics.Count(
    "acaciavale_relay_inquiries_total",
    { { "pool", mPool }, { "outcome", std::string(aOutcome) } });
  // NOTE: A health path that answers without a load is of as little use as one
  //       that does not answer.
  if (aOutcome != kAbandonedInquiry &&
      std::none_of(mInquiry->mCandidates.begin(),
                   mInquiry->mCandidates.end(),
                   [](const Inquiry::Candidate& aCandidate) {
                     return aCandidate.mAnswer == InquiryAnswer::Reported;
                   })) {
    InquiryTiming& timing = mState->mInquiryTimings[mPool];
    timing = WithTimeout(timing, mInquiry->mLimit, now);
  }
}

} // namespace Acaciavale::Relay
