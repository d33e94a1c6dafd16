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

/// Measures the overhead of relaying requests through one VM: the added time to
/// the first token compared with direct requests to an engine, the tokens
/// relayed per second of processor time, and the memory per open idle stream.
using namespace Acaciavale;

namespace {

constexpr auto kRequestTimeout = std::chrono::seconds(120);
constexpr double kTailQuantile = 0.99;
constexpr std::string_view kChunkMarker = "\"delta\":{\"content\"";

struct Options
{
  char* mEngineAddress = nullptr;
  char* mVmAddress = nullptr;
  char* mApiKey = nullptr;
  char* mModel = nullptr;
  char* mVersion = nullptr;
  int mVmPid = 0;
  int mRequestsPerSecond = 1000;
  int mDurationSeconds = 10;
  int mConcurrentStreams = 64;
  int mTokensPerAnswer = 8;
};

/// Target address of the requests: a VM, or an engine that is called directly.
struct Route
{
  std::string mAddress;
  bool mIsDirect = false;
};

EndpointRequest MakeRequest(const Options& aOptions,
                            const Route& aRoute,
                            int aNumber)
{
  EndpointRequest request;
  request.mAddress = aRoute.mAddress;
  request.mMethod = "POST";
  request.mPath = "/v1/chat/completions";
  request.mTimeout = kRequestTimeout;
  request.mHeaders = { { "Content-Type", "application/json" } };
  if (aRoute.mIsDirect) {
    request.mHeaders.emplace_back("X-Request-Id", std::to_string(aNumber));
    request.mHeaders.emplace_back("X-Model-Version", aOptions.mVersion);
  } else {
    request.mHeaders.emplace_back("Authorization",
                                  "Bearer " + std::string(aOptions.mApiKey));
  }
  request.mBody = "{\"model\":\"" + std::string(aOptions.mModel) +
                  "\",\"messages\":[{\"role\":\"user\",\"content\":\"measure "
                  "this path\"}],\"max_tokens\":" +
                  std::to_string(aOptions.mTokensPerAnswer) +
                  ",\"stream\":true}";
  return request;
}

/// Outcome of one load run.
struct LoadResult
{
  std::vector<double> mFirstTokenSeconds;
  std::int64_t mChunks = 0;
  int mCompleted = 0;
  int mFailed = 0;
};

double Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

std::int64_t CountOccurrences(std::string_view aText, std::string_view aMarker)
{
  std::int64_t count = 0;
  for (std::size_t position = aText.find(aMarker);
       position != std::string_view::npos;
       position = aText.find(aMarker, position + aMarker.size())) {
    ++count;
  }
  return count;
}

/// Sends requests and records their results, on a single thread.
class LoadGenerator
{
public:
  LoadGenerator(const Options& aOptions, Route aRoute)
    : mOptions(aOptions)
    , mRoute(std::move(aRoute))
    , mClient(mContext)
    , mTimer(mContext)
  {
  }

  /// Open loop: starts requests at a constant rate, whether or not earlier
  /// requests have completed.
  LoadResult RunOpenLoop()
  {
    mRequestsLeft = mOptions.mRequestsPerSecond * mOptions.mDurationSeconds;
    mNextStart = std::chrono::steady_clock::now();
    StartDueRequests();
    mContext.run();
    return mResult;
  }

  /// Closed loop: keeps a fixed number of streams open until the configured
  /// duration has passed.
  LoadResult RunClosedLoop()
  {
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::seconds(mOptions.mDurationSeconds);
    mShouldContinue = [end] { return std::chrono::steady_clock::now() < end; };
    for (int stream = 0; stream < mOptions.mConcurrentStreams; ++stream) {
      StartRequest();
    }
    mContext.run();
    return mResult;
  }

  /// Opens the configured number of streams and returns while they are open.
  void OpenIdleStreams()
  {
    for (int stream = 0; stream < mOptions.mConcurrentStreams; ++stream) {
      StartRequest();
      mContext.run_for(std::chrono::milliseconds(1));
    }
    mContext.run_for(std::chrono::seconds(2));
  }

  int OpenStreams() const { return mOpenStreams; }

private:
  void StartDueRequests()
  {
    while (mRequestsLeft > 0 &&
           mNextStart <= std::chrono::steady_clock::now()) {
      StartRequest();
      --mRequestsLeft;
      mNextStart +=
        std::chrono::nanoseconds(1'000'000'000 / mOptions.mRequestsPerSecond);
    }
    if (mRequestsLeft > 0) {
      mTimer.expires_at(mNextStart);
      mTimer.async_wait([this](const std::error_code&) { StartDueRequests(); });
    }
  }

  void StartRequest()
  {
    struct State
    {
      std::chrono::steady_clock::time_point mStart;
      bool mIsFirstChunk = true;
      std::string mTail;
    };
    const auto state = std::make_shared<State>();
    state->mStart = std::chrono::steady_clock::now();
    ++mOpenStreams;
    EndpointObserver observer;
    observer.mOnBody = [this, state](std::string_view aBytes) {
      if (state->mIsFirstChunk) {
        state->mIsFirstChunk = false;
        const std::chrono::duration<double> firstTokenSeconds =
          std::chrono::steady_clock::now() - state->mStart;
        mResult.mFirstTokenSeconds.push_back(firstTokenSeconds.count());
      }
      mResult.mChunks += CountOccurrences(aBytes, kChunkMarker);
      state->mTail.append(aBytes);
      if (state->mTail.size() > 64) {
        state->mTail.erase(0, state->mTail.size() - 64);
      }
    };
    observer.mOnDone = [this, state](const TransferResult& aResult) {
      --mOpenStreams;
      const bool isComplete = aResult.mOutcome == TransferOutcome::Complete &&
                              state->mTail.find("[DONE]") != std::string::npos;
      ++(isComplete ? mResult.mCompleted : mResult.mFailed);
      if (mShouldContinue && mShouldContinue()) {
        StartRequest();
      }
    };
    mClient.Start(MakeRequest(mOptions, mRoute, ++mLastRequestNumber),
                  std::move(observer));
  }

  const Options& mOptions;
  const Route mRoute;
  asio::io_context mContext{ 1 };
  EndpointClient mClient;
  asio::steady_timer mTimer;
  std::chrono::steady_clock::time_point mNextStart;
  std::function<bool()> mShouldContinue;
  LoadResult mResult;
  int mRequestsLeft = 0;
  int mLastRequestNumber = 0;
  int mOpenStreams = 0;
};

/// Processor time that a process has used so far, in user and kernel mode.
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
  const LoadResult direct =
    LoadGenerator(aOptions, { aOptions.mEngineAddress, true }).RunOpenLoop();
  const LoadResult through =
    LoadGenerator(aOptions, { aOptions.mVmAddress, false }).RunOpenLoop();
  const auto printLine = [](const char* aName, const LoadResult& aResult) {
    std::printf("%-10s p50 %7.3f ms  p99 %7.3f ms  whole %d  failed %d\n",
                aName,
                Quantile(aResult.mFirstTokenSeconds, 0.5) * 1e3,
                Quantile(aResult.mFirstTokenSeconds, kTailQuantile) * 1e3,
                aResult.mCompleted,
                aResult.mFailed);
  };
  std::printf("first token at %d requests/s\n", aOptions.mRequestsPerSecond);
  printLine("direct", direct);
  printLine("through", through);
  const auto addedMilliseconds = [&](double aFraction) {
    return (Quantile(through.mFirstTokenSeconds, aFraction) -
            Quantile(direct.mFirstTokenSeconds, aFraction)) *
           1e3;
  };
  std::printf("added      p50 %7.3f ms (goal 0.3)  p99 %7.3f ms (goal 2)\n",
              addedMilliseconds(0.5),
              addedMilliseconds(kTailQuantile));
}

void MeasureThroughput(const Options& aOptions)
{
  const double processorSecondsBefore = ProcessorSeconds(aOptions.mVmPid);
  const LoadResult result =
    LoadGenerator(aOptions, { aOptions.mVmAddress, false }).RunClosedLoop();
  const double processorSecondsUsed =
    ProcessorSeconds(aOptions.mVmPid) - processorSecondsBefore;
  std::printf("tokens relayed %ld at 1 a chunk in %.2f core seconds: "
              "%.0f tokens/s per core (goal 200000)  whole %d  failed %d\n",
              static_cast<long>(result.mChunks),
              processorSecondsUsed,
              static_cast<double>(result.mChunks) /
                std::max(processorSecondsUsed, 0.01),
              result.mCompleted,
              result.mFailed);
}

void MeasureMemory(const Options& aOptions)
{
  const double kibibytesBefore = ResidentKibibytes(aOptions.mVmPid);
  LoadGenerator generator(aOptions, { aOptions.mVmAddress, false });
  generator.OpenIdleStreams();
  const double kibibytesAfter = ResidentKibibytes(aOptions.mVmPid);
  std::printf("%d idle streams open: %.1f KiB resident each (goal 32)\n",
              generator.OpenStreams(),
              (kibibytesAfter - kibibytesBefore) /
                std::max(1, generator.OpenStreams()));
}

} // namespace

int main(int aCount, char** aArguments)
{
  Options options;
  const poptOption table[] = {
    { "direct",
      0,
      POPT_ARG_STRING,
      &options.mEngineAddress,
      0,
      "engine",
      "ADDRESS" },
    { "through", 0, POPT_ARG_STRING, &options.mVmAddress, 0, "VM", "ADDRESS" },
    { "key",
      0,
      POPT_ARG_STRING,
      &options.mApiKey,
      0,
      "API key of the client account",
      "KEY" },
    { "model", 0, POPT_ARG_STRING, &options.mModel, 0, "model", "NAME" },
    { "version", 0, POPT_ARG_STRING, &options.mVersion, 0, "version", "NAME" },
    { "pid",
      0,
      POPT_ARG_INT,
      &options.mVmPid,
      0,
      "process id of the VM",
      "PID" },
    { "rate",
      0,
      POPT_ARG_INT,
      &options.mRequestsPerSecond,
      0,
      "requests/s",
      "N" },
    { "seconds", 0, POPT_ARG_INT, &options.mDurationSeconds, 0, "length", "N" },
    { "streams",
      0,
      POPT_ARG_INT,
      &options.mConcurrentStreams,
      0,
      "number of concurrent streams",
      "N" },
    { "tokens",
      0,
      POPT_ARG_INT,
      &options.mTokensPerAnswer,
      0,
      "tokens per answer",
      "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(
    nullptr, aCount, const_cast<const char**>(aArguments), table, 0);
  const int optionResult = poptGetNextOpt(context);
  const char* argument = poptGetArg(context);
  const std::string measurement = argument == nullptr ? "" : argument;
  poptFreeContext(context);
  if (optionResult < -1) {
    std::fprintf(stderr, "PathMeasure: %s\n", poptStrerror(optionResult));
    return 2;
  }
  if (measurement == "latency") {
    MeasureLatency(options);
  } else if (measurement == "throughput") {
    MeasureThroughput(options);
  } else if (measurement == "memory") {
    MeasureMemory(options);
  } else {
    std::fprintf(stderr,
                 "PathMeasure: expected a measurement: latency, throughput or "
                 "memory\n");
    return 2;
  }
  return 0;
}
