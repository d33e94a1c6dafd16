#include "Endpoints.h"

#include <random>

namespace Acaciavale::Soak {

using namespace review;

namespace {

constexpr double kRecordSeconds = 0.02;
constexpr double kEventSeconds = 0.05;
constexpr double kPauseSeconds = 1.2;
constexpr double kSlowSeconds = 5;
constexpr double kSecondAnswerSeconds = 0.05;
constexpr std::size_t kLongFieldBytes = 100000;

/// Each fault but Fault::None is drawn once in this many responses.
constexpr std::uint64_t kResponsesPerFault = 60;
constexpr std::uint64_t kFaultCount = 7;

std::string Chunk(const std::string& aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  return text.str();
}

} // namespace

int NumberOf(const std::string& aTarget)
{
  return std::atoi(aTarget.c_str() + aTarget.rfind('/') + 1);
}

std::string EventData(const std::string& aId, int aNumber)
{
  return aId + ' ' + std::to_string(aNumber);
}

std::string RecordBody(const std::string& aId, int aBytes)
{
  return aId + ' ' + std::string(static_cast<std::size_t>(aBytes), 'r');
}

Endpoints::Endpoints(Ledger& aLedger, std::uint64_t aSeed)
  : mLedger(aLedger)
  , mSeed(aSeed)
{
}

void Endpoints::Start(Store& aStore, const Platform& aPlatform)
{
  for (std::size_t number = 0; number < mRecords.size(); ++number) {
    const std::string zone = "zone-" + std::to_string(number % 2);
    const int host = 100 + static_cast<int>(number);
    mRecords[number].Start(
      aStore,
      "r-" + std::to_string(number),
      kRecords,
      aPlatform.Host(host),
      zone,
      64,
      [this](Replica& aReplica, Channel& aChannel, const Message& aRequest) {
        return ServeRecord(aReplica, aChannel, aRequest);
      });
    mModels[number].Start(
      aStore,
      "m-" + std::to_string(number),
      kModel,
      aPlatform.Host(host + 10),
      zone,
      64,
      [this](Replica& aReplica, Channel& aChannel, const Message& aRequest) {
        return ServeStream(aReplica, aChannel, aRequest);
      });
  }
}

Endpoints::Fault Endpoints::DrawFault(const std::string& aId)
{
  int draw = 0;
  {
    const std::lock_guard lock(mMutex);
    draw = ++mDraws[aId];
  }
  std::mt19937_64 random(
    mSeed ^ std::hash<std::string>()(aId + '/' + std::to_string(draw)));
  const std::uint64_t number = random() % kResponsesPerFault;
  return number < kFaultCount ? static_cast<Fault>(number + 1) : Fault::None;
}

bool Endpoints::Refuse(Channel& aChannel, const std::string& aId)
{
  mLedger.Trouble(aId, false);
  return aChannel.Send(Answer(503,
                              "Attempt-Id: " + aId +
                                "\r\nNot-Executed: 1\r\n"
                                "Replica-Load: 1,0,64\r\n",
                              ""));
}

bool Endpoints::ServeRecord(Replica& aReplica,
                            Channel& aChannel,
                            const Message& aRequest)
{
  const std::string id = aRequest.Header("Attempt-Id");
  const Fault fault = DrawFault(id);
  if (fault == Fault::Refuses) {
    return Refuse(aChannel, id);
  }
  mLedger.Run(id);
  Sleep(fault == Fault::Slow     ? kSlowSeconds
        : fault == Fault::Pauses ? kPauseSeconds
                                 : kRecordSeconds);
  std::string headers = aReplica.Headers(aRequest);
  const std::string body = RecordBody(id, NumberOf(aRequest.Target()));
  switch (fault) {
    case Fault::EndsWithinHead:
      mLedger.Trouble(id, true);
      aChannel.Send("HTTP/1.1 200 OK\r\n" + headers);
      return false;
    case Fault::EndsWithinBody:
      mLedger.Trouble(id, true);
      aChannel.Send("HTTP/1.1 200 OK\r\n" + headers +
                    "Content-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body.substr(0, body.size() / 2));
      return false;
    case Fault::LongField:
      mLedger.Trouble(id, true);
      headers += "X-Note: " + std::string(kLongFieldBytes, 'n') + "\r\n";
      break;
    default:
      break;
  }
  const bool isSent = aChannel.Send(Answer(200, headers, body));
  if (isSent && fault == Fault::AnswersTwice) {
    Sleep(kSecondAnswerSeconds);
    return aChannel.Send(Answer(200, headers, body));
  }
  return isSent;
}

bool Endpoints::ServeStream(Replica& aReplica,
                            Channel& aChannel,
                            const Message& aRequest)
{
  const std::string id = aRequest.Header("Attempt-Id");
  const Fault fault = DrawFault(id);
  if (fault == Fault::Refuses) {
    return Refuse(aChannel, id);
  }
  mLedger.Run(id);
  const int events = NumberOf(aRequest.Target());
  const std::string resumed = aRequest.Header("Last-Event-Id");
  int number = resumed.empty() ? 0 : std::atoi(resumed.c_str());
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                     aReplica.Headers(aRequest);
  if (fault == Fault::EndsWithinHead || fault == Fault::LongField) {
    mLedger.Trouble(id, true);
    head += "X-Note: " + std::string(kLongFieldBytes, 'n');
    aChannel.Send(head.substr(
      0, fault == Fault::LongField ? std::string::npos : head.size() / 2));
    return false;
  }
  head += "Transfer-Encoding: chunked\r\n\r\n";
  if (!aChannel.Send(head)) {
    return false;
  }
  const int faultAt = number + (events - number) / 2;
  while (number < events) {
    Sleep(kEventSeconds);
    if (number == faultAt && fault == Fault::Pauses) {
      mLedger.Trouble(id, false);
      Sleep(kPauseSeconds);
    }
    if (number == faultAt && fault == Fault::EndsWithinBody) {
      mLedger.Trouble(id, true);
      return false;
    }
    if (number == faultAt && fault == Fault::AnswersTwice) {
      mLedger.Trouble(id, true);
      aChannel.Send(head);
      return false;
    }
    ++number;
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + EventData(id, number) + "\n\n";
    if (aChannel.IsClosedByPeer() || !aChannel.Send(Chunk(event))) {
      return false;
    }
  }
  return aChannel.Send("0\r\n\r\n");
}

} // namespace Acaciavale::Soak
