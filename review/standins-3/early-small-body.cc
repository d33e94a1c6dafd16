// A replica answers a request before it has read its body, keeps the channel
// and reads on some seconds later. The body is larger than the replica's window
// and smaller than those for which the router waits. The replica must get the
// body that the client sent.
#include "../standins-2/kit.hh"

using namespace Kit;

namespace {

constexpr std::size_t kBodyBytes = 16'000;
constexpr int kWindowBytes = 4096;
/// Time from the early answer until the replica reads on.
constexpr double kPauseSeconds = 3.0;

double NumberFrom(const char* aVariable, double aDefault)
{
  const char* const text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::atof(text);
}

std::mutex sMutex;
std::map<std::string, std::string> sBodies; ///< By attempt, as received.

std::string BodyOf(int aNumber, std::size_t aBytes)
{
  std::string body;
  for (int line = 0; body.size() < aBytes; ++line) {
    body += "request " + std::to_string(aNumber) + " line " +
            std::to_string(line) + "\n";
  }
  body.resize(aBytes);
  return body;
}

/// Reads the body of the request, and answers before that or after it.
Replica::Script AnswerAndRead(bool aIsEarly, double aPauseSeconds)
{
  return [aIsEarly, aPauseSeconds](
           Replica& aSelf, Connection& aConnection, const Request& aRequest) {
    const std::string attempt = aRequest.mHead.Value("Attempt-Id");
    const std::size_t length =
      std::stoul("0" + aRequest.mHead.Value("Content-Length"));
    const std::string answer = ResponseText(
      200, "accepted by " + aSelf.Id(), aSelf.AnswerFields(aRequest));
    if (aIsEarly) {
      SendAll(aConnection.mFd, answer);
      Record("answer    " + aSelf.Id() + " answers attempt=" + attempt +
             " before it has read the body");
      Sleep(aPauseSeconds);
    }
    std::string body;
    while (aConnection.mReceived.size() < length && aConnection.Receive()) {
    }
    aConnection.ReceiveBytes(std::min(length, aConnection.mReceived.size()),
                             body);
    Record("body      " + aSelf.Id() + " got " + std::to_string(body.size()) +
           " of " + std::to_string(length) + " bytes of attempt=" + attempt);
    {
      const std::lock_guard<std::mutex> lock(sMutex);
      sBodies[attempt] = body;
    }
    if (body.size() < length) {
      aConnection.Close();
    } else if (!aIsEarly) {
      SendAll(aConnection.mFd, answer);
    }
  };
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  OpenRecord(aArguments[2]);
  const bool hasTrouble = HasTrouble();
  const auto bodyBytes =
    static_cast<std::size_t>(NumberFrom("BODY_BYTES", kBodyBytes));
  const auto windowBytes =
    static_cast<int>(NumberFrom("WINDOW_BYTES", kWindowBytes));
  const double pause = NumberFrom("PAUSE_SECONDS", kPauseSeconds);
  Store store;
  Json route = PlainRoute("r-signoff", "/signoff/", "non_idempotent");
  route["timeout-ms"] = 10000;
  route["goal-ms"] = 1000;
  store.Put("op/config",
            Config(7,
                   Json::array({ route }),
                   Json::array({ Tenant("carrier", "key-of-carrier") })));
  Replica replica1(
    store, "records-api", "i-1", AnswerAndRead(hasTrouble, pause));
  Replica replica2(
    store, "records-api", "i-2", AnswerAndRead(hasTrouble, pause));
  replica1.LeaveBodies(windowBytes);
  replica2.LeaveBodies(windowBytes);
  Machine machine("edge-1", aArguments[1], store.Port());
  machine.Start();
  if (!AwaitReady(machine, 15)) {
    Exit(2, "the machine is not ready");
  }
  Sleep(1);
  const int sent = 8;
  int answered = 0;
  int changed = 0;
  for (int number = 0; number < sent; ++number) {
    const std::string id = AttemptId();
    const std::string body = BodyOf(number, bodyBytes);
    Record("sent      attempt=" + id + " with a body of " +
           std::to_string(body.size()) + " bytes");
    const Answer answer = Call(machine.Front(),
                               "POST",
                               "/signoff/1",
                               { { "Host", "records.example" },
                                 { "Attempt-Id", id },
                                 { "Deadline-Ms", "10000" },
                                 { "Key", "key-of-carrier" } },
                               body,
                               11);
    Record("answered  attempt=" + id + " " + std::to_string(answer.mStatus) +
           " " + answer.mBody);
    Sleep(pause + 1.5);
    if (answer.mStatus != 200) {
      continue;
    }
    ++answered;
    const std::lock_guard<std::mutex> lock(sMutex);
    changed += sBodies[id] == body ? 0 : 1;
  }
  Record("summary   " + std::to_string(answered) + " of " +
         std::to_string(sent) +
         " requests were answered with success; the "
         "replica that runs it got another body than the client's in " +
         std::to_string(changed));
  if (answered == 0) {
    Exit(2, "no request was answered with success");
  }
  if (changed > 0) {
    Exit(1,
         std::to_string(changed) + " of " + std::to_string(answered) +
           " requests answered with success reached their replica without the "
           "rest of their body");
  }
  Exit(0, "each replica got the whole body");
}
