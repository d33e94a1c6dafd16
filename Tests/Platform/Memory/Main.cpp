#include "Forms.h"

#include <standins.hh>

#include <array>
#include <list>

using namespace Acaciavale::Memory;

namespace {

constexpr int kRequests = 200; ///< At once.
constexpr int kTimeoutMs = 3000;
/// Beyond the time limit of the route.
constexpr double kAnswerSeconds = 8;
constexpr double kSettleSeconds = 1;
/// For how long callers begin requests, one after the other.
constexpr double kLoadSeconds = 2;
constexpr double kGapSeconds = 0.05;
/// A slow caller has a small window, and takes little at a time.
constexpr int kSlowWindowBytes = 4096;
constexpr std::size_t kSlowReadBytes = 512;
constexpr double kSlowGapSeconds = 0.1;
constexpr double kMinimumServedShare = 0.5;

/// How the callers read.
enum class Manner
{
  Fast,
  Slow,
};

/// What a run has shown.
struct Result
{
  long mPeakKib = 0;
  bool mHasEnded = false; ///< The process ended by itself.
  int mOtherRequests = 0; ///< Of another caller, for a sound endpoint.
  int mOtherServed = 0;
  int mOtherLost = 0; ///< Without a response.
};

std::string FillIn(std::string aText, const std::string& aId)
{
  return review::Platform::Replaced(std::move(aText), "REQUEST-ID", aId);
}

/// Sends the form until the VM closes the connection, or the time.
void SendForm(const Form& aForm,
              review::Channel& aChannel,
              const std::string& aId,
              double aUntil)
{
  bool isOpen = aChannel.Send(FillIn(aForm.mPrefix, aId));
  for (int first = 1;
       isOpen && review::Now() < aUntil && !aForm.mFiller.empty();
       first += RepetitionsPerWrite(aForm)) {
    isOpen = aChannel.Send(FillIn(FillerText(aForm, first), aId));
  }
  while (isOpen && review::Now() < aUntil && !aChannel.IsClosedByPeer()) {
    review::Sleep(kGapSeconds);
  }
}

/// Sends what the endpoint sends for a request.
void Respond(const Form& aForm,
             review::Channel& aChannel,
             const review::Message& aRequest)
{
  const double until = review::Now() + kAnswerSeconds;
  static const Form sSilence;
  SendForm(aForm.mIsOfCaller ? sSilence : aForm,
           aChannel,
           aRequest.Header("Attempt-Id"),
           until);
}

/// Sends one request, and reads until the VM ends the response.
void CallOnce(const review::Platform::Node& aNode,
              const Form& aForm,
              Manner aManner,
              const std::string& aId)
{
  review::Channel channel;
  const bool isSlow = aManner == Manner::Slow;
  const double until = review::Now() + kAnswerSeconds;
  if (!channel.Connect(aNode.mFront, isSlow ? kSlowWindowBytes : 0)) {
    return;
  }
  const timeval limit{ static_cast<time_t>(kAnswerSeconds), 0 };
  setsockopt(channel.Handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (aForm.mIsOfCaller) {
    SendForm(aForm, channel, aId, until);
    return;
  }
  const std::string request = review::RequestText(
    "POST", '/' + aForm.mRoute + "/x", aId, kTimeoutMs, "body");
  if (!channel.Send(review::Platform::Replaced(
        request, "Host:", "Connection: close\r\nHost:"))) {
    return;
  }
  std::array<char, 65536> piece{};
  while (review::Now() < until && !channel.IsClosedByPeer()) {
    if (isSlow) {
      review::Sleep(kSlowGapSeconds);
    }
    const ssize_t size = recv(channel.Handle(),
                              piece.data(),
                              isSlow ? kSlowReadBytes : piece.size(),
                              MSG_DONTWAIT);
    if (size < 0 && !isSlow) {
      review::Sleep(kGapSeconds);
    }
  }
}

/// Sends requests to the sound endpoint until the time.
void CallOthers(const review::Platform::Node& aNode,
                const std::atomic<bool>& aIsOver,
                Result& aResult)
{
  while (!aIsOver) {
    review::Channel channel;
    review::Message response;
    const std::string id = "other-" + std::to_string(++aResult.mOtherRequests);
    const bool isAnswered =
      channel.Connect(aNode.mFront) &&
      channel.Send(review::RequestText("GET", "/calm/x", id, kTimeoutMs)) &&
      channel.ReadHead(response, kAnswerSeconds) &&
      channel.ReadBody(response, kAnswerSeconds);
    aResult.mOtherServed += isAnswered && response.Status() == 200 ? 1 : 0;
    aResult.mOtherLost += isAnswered ? 0 : 1;
    review::Sleep(kGapSeconds);
  }
}

/// The largest resident memory of the process so far.
long PeakKib(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::atol(line.c_str() + 6);
    }
  }
  return 0;
}

/// Plays one form at a new process.
Result Play(review::Platform& aPlatform,
            const Form& aForm,
            Manner aManner,
            const std::string& aMemoryMb)
{
  // NOTE: The threads of the stand-ins go on after the run.
  static std::list<review::Store> sStores;
  static std::list<std::array<review::Replica, 3>> sReplicas;
  review::Store& store = sStores.emplace_back();
  store.Start(aPlatform.Host(1));
  const auto route = [](const char* aName, const char* aKind) {
    const std::string name = aName;
    return review::Route(name,
                         '/' + name + '/',
                         aKind,
                         name == "calm" ? "calm" : "faulty",
                         kTimeoutMs,
                         kTimeoutMs / 2,
                         3);
  };
  store.Put("op/config",
            review::Config({ route("look", "idempotent"),
                             route("chat", "streaming"),
                             route("calm", "idempotent") },
                           { "faulty", "calm" })
              .dump());
  auto& replicas = sReplicas.emplace_back();
  for (std::size_t number = 0; number < replicas.size(); ++number) {
    const bool isCalm = number + 1 == replicas.size();
    replicas[number].Start(store,
                           "i-" + std::to_string(number),
                           isCalm ? "calm" : "faulty",
                           aPlatform.Host(100 + static_cast<int>(number)),
                           "zone-0",
                           64,
                           [form = aForm, isCalm](review::Replica& aReplica,
                                                  review::Channel& aChannel,
                                                  review::Message& aRequest) {
                             if (isCalm) {
                               return aChannel.Send(review::Answer(
                                 200, aReplica.Headers(aRequest), "done"));
                             }
                             Respond(form, aChannel, aRequest);
                             return false;
                           });
  }
  review::Platform::Node& node = aPlatform.StartNode(
    "vm", 11, "zone-0", store.Address(), { { "limits.memory-mb", aMemoryMb } });
  review::Platform::AwaitReady(node);
  review::Sleep(kSettleSeconds);

  Result result;
  std::atomic<bool> isOver = false;
  std::thread others([&] { CallOthers(node, isOver, result); });
  std::vector<std::thread> callers;
  callers.reserve(kRequests);
  const double until = review::Now() + kLoadSeconds;
  for (int number = 0; number < kRequests; ++number) {
    callers.emplace_back([&, number] {
      for (int call = 0; review::Now() < until; ++call) {
        CallOnce(node,
                 aForm,
                 aManner,
                 "id-" + std::to_string(number) + '-' + std::to_string(call));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  isOver = true;
  others.join();
  result.mPeakKib = PeakKib(node.mPid);
  result.mHasEnded = waitpid(node.mPid, nullptr, WNOHANG) != 0;
  if (!result.mHasEnded) {
    kill(node.mPid, SIGKILL);
    waitpid(node.mPid, nullptr, 0);
  }
  node.mPid = -1;
  return result;
}

/// Returns whether the process stayed within its memory, and served others.
bool Report(const std::string& aName, const Result& aResult, long aMemoryMb)
{
  const bool isWithin =
    !aResult.mHasEnded && aResult.mPeakKib <= aMemoryMb * 1024 &&
    aResult.mOtherLost == 0 &&
    aResult.mOtherServed >= kMinimumServedShare * aResult.mOtherRequests;
  std::printf("%-42s %6ld KiB of %ld MiB; others: %d of %d served, %d lost%s\n",
              aName.c_str(),
              aResult.mPeakKib,
              aMemoryMb,
              aResult.mOtherServed,
              aResult.mOtherRequests,
              aResult.mOtherLost,
              isWithin ? "" : "  FAILED");
  std::fflush(stdout);
  return isWithin;
}

} // namespace

/// acaciavale-node-memory MEMORY_MB [FORM...]: runs in the root of the
/// repository, where the program of the node is built. Without a form, plays
/// all. With --list, prints their names.
int main(int aCount, char** aArguments)
{
  if (aCount < 2) {
    std::fprintf(
      stderr, "usage: acaciavale-node-memory MEMORY_MB [FORM...] | --list\n");
    return 2;
  }
  const std::string memoryMb = aArguments[1];
  const std::vector<std::string> names(aArguments + 2, aArguments + aCount);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<Form> forms = AllForms();
  if (memoryMb == "--list") {
    for (const Form& form : forms) {
      std::printf("%s\n", form.mName.c_str());
    }
    return 0;
  }
  std::erase_if(forms, [&names](const Form& aForm) {
    return !names.empty() &&
           std::find(names.begin(), names.end(), aForm.mName) == names.end();
  });
  review::Platform platform;
  review::ThePlatform() = &platform;
  bool isWithin = !forms.empty();
  for (const Form& form : forms) {
    for (const Manner manner : { Manner::Fast, Manner::Slow }) {
      const Result result = Play(platform, form, manner, memoryMb);
      isWithin =
        Report(form.mName + (manner == Manner::Slow ? ", slow callers" : ""),
               result,
               std::atol(memoryMb.c_str())) &&
        isWithin;
    }
  }
  platform.EndAll();
  std::_Exit(isWithin ? 0 : 1);
}
