#include "Caller.h"

#include "Endpoints.h"

namespace Acaciavale::Soak {

using namespace review;

namespace {

/// Longer than the time limit of a request and the pauses of its caller.
constexpr double kResponseSeconds = 20;
constexpr int kDeadlineMs = 12000;
constexpr double kPauseSeconds = 0.7;
constexpr int kSlowParts = 4;
constexpr std::size_t kLongBytes = 100000;
constexpr std::size_t kLargeBodyBytes = 1U << 20;
constexpr int kSmallAnswerBytes = 200;
constexpr int kLargeAnswerBytes = 1 << 20;
constexpr double kGapSeconds = 0.05;
constexpr int kStatusOk = 200;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;

std::string Prefix(Kind aKind)
{
  switch (aKind) {
    case Kind::Idempotent:
      return "/look/";
    case Kind::NonIdempotent:
      return "/book/";
    case Kind::Stream:
      break;
  }
  return "/chat/";
}

/// Returns what is wrong with the events; empty: nothing.
std::string WrongEvents(const std::string& aId,
                        const std::string& aBody,
                        int aCount)
{
  std::string expected;
  for (int number = 1; number <= aCount; ++number) {
    expected += "id: " + std::to_string(number) +
                "\ndata: " + EventData(aId, number) + "\n\n";
  }
  // NOTE: A VM may put comments between events.
  std::string received;
  std::istringstream lines(aBody);
  bool isComment = false;
  for (std::string line; std::getline(lines, line);) {
    isComment = line.rfind(':', 0) == 0 || (isComment && line.empty());
    received += isComment ? "" : line + '\n';
  }
  return received == expected ? "" : "other events than those of the request";
}

} // namespace

Caller::Caller(Ledger& aLedger,
               const Vms& aVms,
               std::string aName,
               std::uint64_t aSeed)
  : mLedger(aLedger)
  , mVms(aVms)
  , mName(std::move(aName))
  , mRandom(aSeed)
{
}

bool Caller::Connect()
{
  const auto view = mVms.Choose(mRandom());
  if (!view) {
    return false;
  }
  mView = *view;
  return mChannel.Connect(mView.mAddress);
}

std::string Caller::NameOf(Manner aManner)
{
  switch (aManner) {
    case Manner::Plain:
      return "plain";
    case Manner::SlowBody:
      return "slow body";
    case Manner::PausedReading:
      return "paused reading";
    case Manner::Pipelined:
      return "pipelined";
    case Manner::LongField:
      return "long field";
    case Manner::LongTrailers:
      return "long trailers";
    case Manner::Behind:
      return "behind another";
  }
  return {};
}

Caller::Draft Caller::Draw(Manner aManner)
{
  Draft draft;
  draft.mId = mName + '-' + std::to_string(++mCount);
  draft.mKind = static_cast<Kind>(mRandom() % 3);
  const bool isLarge = aManner == Manner::PausedReading;
  draft.mNumber = draft.mKind == Kind::Stream
                    ? 5 + static_cast<int>(mRandom() % 30)
                  : isLarge ? kLargeAnswerBytes
                            : kSmallAnswerBytes;
  const bool hasLargeBody = aManner == Manner::SlowBody || mRandom() % 20 == 0;
  const std::string path = Prefix(draft.mKind) + std::to_string(draft.mNumber);
  draft.mText =
    RequestText("POST",
                path,
                draft.mId,
                kDeadlineMs,
                std::string(hasLargeBody ? kLargeBodyBytes : 2, 'b'));
  if (aManner == Manner::LongField || aManner == Manner::LongTrailers) {
    const std::string field =
      "X-Note: " + std::string(kLongBytes, 'n') + "\r\n";
    const bool isTrailer = aManner == Manner::LongTrailers;
    const std::size_t from = draft.mText.find("Content-Length");
    draft.mText =
      draft.mText.substr(0, from) +
      (isTrailer
         ? "Transfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n0\r\n" + field + "\r\n"
         : field + "Content-Length: 0\r\n\r\n");
  }
  mLedger.Begin(draft.mId, draft.mKind, Prefix(draft.mKind) + NameOf(aManner));
  return draft;
}

bool Caller::SendSlowly(const std::string& aText)
{
  const std::size_t part = aText.size() / kSlowParts + 1;
  for (std::size_t at = 0; at < aText.size(); at += part) {
    if (!mChannel.Send(aText.substr(at, part))) {
      return false;
    }
    Sleep(kPauseSeconds / kSlowParts);
  }
  return true;
}

bool Caller::Send(const Draft& aDraft, Manner aManner)
{
  const bool isSent = aManner == Manner::SlowBody ? SendSlowly(aDraft.mText)
                                                  : mChannel.Send(aDraft.mText);
  mLedger.Sent(aDraft.mId, Now());
  return isSent;
}

Request Caller::ReadResponse(const Draft& aDraft, Manner aManner, bool& aGoesOn)
{
  Request seen;
  aGoesOn = false;
  mIsCloseAnnounced = false;
  Message response;
  const auto hasNoTime = [this] {
    return mChannel.Error() == "nothing arrived in time";
  };
  if (!mChannel.ReadHead(response, kResponseSeconds)) {
    seen.mOutcome = hasNoTime()               ? Outcome::TimedOut
                    : mChannel.Buffered() > 0 ? Outcome::CutOff
                                              : Outcome::Unanswered;
    seen.mError = mChannel.Error();
    return seen;
  }
  seen.mStatus = static_cast<unsigned>(response.Status());
  if (aManner == Manner::PausedReading) {
    Sleep(kPauseSeconds);
  }
  if (!mChannel.ReadBody(response, kResponseSeconds)) {
    seen.mOutcome = hasNoTime() ? Outcome::TimedOut : Outcome::CutOff;
    seen.mError = mChannel.Error();
    return seen;
  }
  mIsCloseAnnounced =
    strcasecmp(response.Header("Connection").c_str(), "close") == 0;
  aGoesOn = !mIsCloseAnnounced;
  if (response.Status() != kStatusOk) {
    const bool mayHaveRun = response.Status() == kStatusBadGateway ||
                            response.Status() == kStatusGatewayTimeout;
    seen.mOutcome = mayHaveRun ? Outcome::Failed : Outcome::NotExecuted;
    return seen;
  }
  seen.mOutcome = Outcome::Served;
  if (response.Header("Attempt-Id") != aDraft.mId) {
    seen.mMixUp = "the response to " + response.Header("Attempt-Id");
  } else if (aDraft.mKind == Kind::Stream) {
    seen.mMixUp = WrongEvents(aDraft.mId, response.mBody, aDraft.mNumber);
  } else if (response.mBody != RecordBody(aDraft.mId, aDraft.mNumber)) {
    seen.mMixUp = "another body";
  }
  return seen;
}

bool Caller::Read(const Draft& aDraft, Manner aManner)
{
  bool goesOn = false;
  Request seen = ReadResponse(aDraft, aManner, goesOn);
  seen.mStopAt = mVms.StopTime(mView);
  mLedger.End(aDraft.mId, seen);
  return goesOn;
}

void Caller::EndBehind(const Draft& aDraft)
{
  Request seen;
  seen.mOutcome =
    mIsCloseAnnounced ? Outcome::NotExecuted : Outcome::Unanswered;
  seen.mError = "behind the last response";
  seen.mStopAt = mVms.StopTime(mView);
  mLedger.End(aDraft.mId, seen);
}

void Caller::Run(double aUntil)
{
  bool isConnected = false;
  while (Now() < aUntil) {
    if (!isConnected && !Connect()) {
      Sleep(kGapSeconds);
      continue;
    }
    const std::uint64_t draw = mRandom() % 20;
    const Manner manner = draw < 6 ? static_cast<Manner>(draw) : Manner::Plain;
    const Draft draft = Draw(manner);
    // NOTE: A response may have arrived although not all could be sent.
    Send(draft, manner);
    if (manner != Manner::Pipelined) {
      isConnected = Read(draft, manner);
      Sleep(kGapSeconds * static_cast<double>(mRandom() % 4));
      continue;
    }
    const Draft next = Draw(Manner::Behind);
    Send(next, Manner::Behind);
    isConnected = Read(draft, manner);
    if (isConnected) {
      isConnected = Read(next, Manner::Behind);
    } else {
      EndBehind(next);
    }
  }
  mChannel.Close();
}

} // namespace Acaciavale::Soak
