#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibEndpoint/EndpointClient.h>
#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <popt.h>
#include <unistd.h>
#include <vector>

/// Measures the path through one VM against the same client talking to an
/// engine directly: added time to the first token, tokens relayed per second
/// of a core, and memory per open idle stream.
using namespace Acaciavale;

namespace {

constexpr auto kRequestDeadline = std::chrono::seconds(120);
constexpr double kTailShare = 0.99;
constexpr std::string_view kChunkMark = "\"delta\":{\"content\"";

struct Options
{
  char* mDirect = nullptr;
  char* mThrough = nullptr;
  char* mKey = nullptr;
  char* mModel = nullptr;
  char* mVersion = nullptr;
  int mPid = 0;
  int mRate = 1000;
  int mSeconds = 10;
  int mStreams = 64;
  int mTokens = 8;
};

/// Where requests go: through a VM, or straight to an engine.
struct Route
{
  std::string mAddress;
  bool mDirect = false;
};

EndpointRequest MakeRequest(const Options& aOptions,
                            const Route& aRoute,
                            int aNumber)
{
  EndpointRequest request;
  request.mAddress = aRoute.mAddress;
  request.mMethod = "POST";
  request.mPath = "/v1/chat/completions";
  request.mTimeout = kRequestDeadline;
  request.mHeaders = { { "Content-Type", "application/json" } };
  if (aRoute.mDirect) {
    request.mHeaders.emplace_back("X-Request-Id", std::to_string(aNumber));
    request.mHeaders.emplace_back("X-Model-Version", aOptions.mVersion);
  } else {
    request.mHeaders.emplace_back("Authorization",
                                  "Bearer " + std::string(aOptions.mKey));
  }
  request.mBody = "{\"model\":\"" + std::string(aOptions.mModel) +
                  "\",\"messages\":[{\"role\":\"user\",\"content\":\"measure "
                  "this path\"}],\"max_tokens\":" +
                  std::to_string(aOptions.mTokens) + ",\"stream\":true}";
  return request;
}

/// What a run of requests came to.
struct Tally
{
  std::vector<double> mFirstTokenSeconds;
  std::int64_t mChunks = 0;
  int mWhole = 0;
  int mFailed = 0;
};

double Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

std::int64_t CountOf(std::string_view aText, std::string_view aMark)
{
  std::int64_t count = 0;
  for (std::size_t at = aText.find(aMark); at != std::string_view::npos;
       at = aText.find(aMark, at + aMark.size())) {
    ++count;
  }
  return count;
}

/// Sends requests and tallies them, all on one thread.
class Load
{
public:
  Load(const Options& aOptions, Route aRoute)
    : mOptions(aOptions)
    , mRoute(std::move(aRoute))
    , mClient(mContext)
    , mTimer(mContext)
  {
  }

  /// Starts requests at a steady rate, whether or not earlier ones are done.
  Tally RunOpen()
  {
    mLeft = mOptions.mRate * mOptions.mSeconds;
    mNext = std::chrono::steady_clock::now();
    StartOnTime();
    mContext.run();
    return mTally;
  }

  /// Keeps a number of streams going until the time is over.
  Tally RunClosed()
  {
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::seconds(mOptions.mSeconds);
    mAgain = [end] { return std::chrono::steady_clock::now() < end; };
    for (int stream = 0; stream < mOptions.mStreams; ++stream) {
      StartOne();
    }
    mContext.run();
    return mTally;
  }

  /// Opens streams that stay idle, and leaves them open.
  void OpenIdle()
  {
    for (int stream = 0; stream < mOptions.mStreams; ++stream) {
      StartOne();
      mContext.run_for(std::chrono::milliseconds(1));
    }
    mContext.run_for(std::chrono::seconds(2));
  }

  int Open() const { return mOpen; }

private:
  void StartOnTime()
  {
    while (mLeft > 0 && mNext <= std::chrono::steady_clock::now()) {
      StartOne();
      --mLeft;
      mNext += std::chrono::nanoseconds(1'000'000'000 / mOptions.mRate);
    }
    if (mLeft > 0) {
      mTimer.expires_at(mNext);
      mTimer.async_wait([this](const std::error_code&) { StartOnTime(); });
    }
  }

  void StartOne()
  {
    struct State
    {
      std::chrono::steady_clock::time_point mStart;
      bool mFirst = true;
      std::string mTail;
    };
    const auto state = std::make_shared<State>();
    state->mStart = std::chrono::steady_clock::now();
    ++mOpen;
    EndpointObserver observer;
    observer.mOnBody = [this, state](std::string_view aBytes) {
      if (state->mFirst) {
        state->mFirst = false;
        const std::chrono::duration<double> wait =
          std::chrono::steady_clock::now() - state->mStart;
        mTally.mFirstTokenSeconds.push_back(wait.count());
      }
      mTally.mChunks += CountOf(aBytes, kChunkMark);
      state->mTail.append(aBytes);
      if (state->mTail.size() > 64) {
        state->mTail.erase(0, state->mTail.size() - 64);
      }
    };
    observer.mOnDone = [this, state](const TransferResult& aResult) {
      --mOpen;
      const bool whole = aResult.mOutcome == TransferOutcome::Complete &&
                         state->mTail.find("[DONE]") != std::string::npos;
      ++(whole ? mTally.mWhole : mTally.mFailed);
      if (mAgain && mAgain()) {
        StartOne();
      }
    };
    mClient.Start(MakeRequest(mOptions, mRoute, ++mNumber),
                  std::move(observer));
  }

  const Options& mOptions;
  const Route mRoute;
  asio::io_context mContext{ 1 };
  EndpointClient mClient;
  asio::steady_timer mTimer;
  std::chrono::steady_clock::time_point mNext;
  std::function<bool()> mAgain;
  Tally mTally;
  int mLeft = 0;
  int mNumber = 0;
  int mOpen = 0;
};

/// Processor seconds that a process has used.
double ProcessorSeconds(int aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string word;
  long ticks = 0;
  for (int field = 1; file >> word; ++field) {
    if (field == 14 || field == 15) {
      ticks += std::stol(word);
    }
  }
  return static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentKibibytes(int aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      file >> word;
      return std::stod(word);
    }
  }
  return 0;
}

void MeasureLatency(const Options& aOptions)
{
  const Tally direct = Load(aOptions, { aOptions.mDirect, true }).RunOpen();
  const Tally through = Load(aOptions, { aOptions.mThrough, false }).RunOpen();
  const auto line = [](const char* aName, const Tally& aTally) {
    std::printf("%-10s p50 %7.3f ms  p99 %7.3f ms  whole %d  failed %d\n",
                aName,
                Quantile(aTally.mFirstTokenSeconds, 0.5) * 1e3,
                Quantile(aTally.mFirstTokenSeconds, kTailShare) * 1e3,
                aTally.mWhole,
                aTally.mFailed);
  };
  std::printf("first token at %d requests/s\n", aOptions.mRate);
  line("direct", direct);
  line("through", through);
  const auto added = [&](double aShare) {
    return (Quantile(through.mFirstTokenSeconds, aShare) -
            Quantile(direct.mFirstTokenSeconds, aShare)) *
           1e3;
  };
  std::printf("added      p50 %7.3f ms (goal 0.3)  p99 %7.3f ms (goal 2)\n",
              added(0.5),
              added(kTailShare));
}

void MeasureThroughput(const Options& aOptions)
{
  const double before = ProcessorSeconds(aOptions.mPid);
  const Tally tally = Load(aOptions, { aOptions.mThrough, false }).RunClosed();
  const double used = ProcessorSeconds(aOptions.mPid) - before;
  std::printf("tokens relayed %ld at 1 a chunk in %.2f core seconds: "
              "%.0f tokens/s per core (goal 200000)  whole %d  failed %d\n",
              static_cast<long>(tally.mChunks),
              used,
              static_cast<double>(tally.mChunks) / std::max(used, 0.01),
              tally.mWhole,
              tally.mFailed);
}

void MeasureMemory(const Options& aOptions)
{
  const double before = ResidentKibibytes(aOptions.mPid);
  Load load(aOptions, { aOptions.mThrough, false });
  load.OpenIdle();
  const double after = ResidentKibibytes(aOptions.mPid);
  std::printf("%d idle streams open: %.1f KiB resident each (goal 32)\n",
              load.Open(),
              (after - before) / std::max(1, load.Open()));
}

} // namespace

int main(int aCount, char** aArguments)
{
  Options options;
  const poptOption table[] = {
    { "direct", 0, POPT_ARG_STRING, &options.mDirect, 0, "engine", "ADDRESS" },
    { "through", 0, POPT_ARG_STRING, &options.mThrough, 0, "VM", "ADDRESS" },
    { "key", 0, POPT_ARG_STRING, &options.mKey, 0, "caller's key", "KEY" },
    { "model", 0, POPT_ARG_STRING, &options.mModel, 0, "model", "NAME" },
    { "version", 0, POPT_ARG_STRING, &options.mVersion, 0, "version", "NAME" },
    { "pid", 0, POPT_ARG_INT, &options.mPid, 0, "the VM's process", "PID" },
    { "rate", 0, POPT_ARG_INT, &options.mRate, 0, "requests/s", "N" },
    { "seconds", 0, POPT_ARG_INT, &options.mSeconds, 0, "length", "N" },
    { "streams", 0, POPT_ARG_INT, &options.mStreams, 0, "at once", "N" },
    { "tokens", 0, POPT_ARG_INT, &options.mTokens, 0, "per answer", "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(
    nullptr, aCount, const_cast<const char**>(aArguments), table, 0);
  const int result = poptGetNextOpt(context);
  const char* word = poptGetArg(context);
  const std::string what = word == nullptr ? "" : word;
  poptFreeContext(context);
  if (result < -1) {
    std::fprintf(stderr, "PathMeasure: %s\n", poptStrerror(result));
    return 2;
  }
  if (what == "latency") {
    MeasureLatency(options);
  } else if (what == "throughput") {
    MeasureThroughput(options);
  } else if (what == "memory") {
    MeasureMemory(options);
  } else {
    std::fprintf(stderr, "PathMeasure: latency, throughput or memory\n");
    return 2;
  }
  return 0;
}
