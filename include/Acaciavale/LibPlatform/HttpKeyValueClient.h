#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// What the client needs to know of the service.
struct KeyValueClientOptions
{
  std::string mAddress; ///< IP number and port, "127.0.0.1:2379".
  Duration mTimeout = std::chrono::milliseconds(800); ///< Per call.
  double mCallsPerSecond = 20;                        ///< Call budget.
  std::int64_t mCallBurst = 100;
  Duration mBreakerOpenTime = std::chrono::milliseconds(500);

  auto operator<=>(const KeyValueClientOptions&) const = default;
};

/// Counters of the client since the process started.
struct KeyValueClientCounts
{
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
  std::int64_t mFailures = 0;
  std::int64_t mRefusedByBudget = 0;
  std::int64_t mRefusedByBreaker = 0;

  auto operator<=>(const KeyValueClientCounts&) const = default;
};

/// The key-value service over HTTP, by libcurl. Thread-safe.
class HttpKeyValueClient
{
public:
  explicit HttpKeyValueClient(KeyValueClientOptions aOptions);
  ~HttpKeyValueClient();
  HttpKeyValueClient(const HttpKeyValueClient&) = delete;
  HttpKeyValueClient& operator=(const HttpKeyValueClient&) = delete;

  /// Operations on this client; valid as long as the client lives.
  KeyValueStore Store();
  KeyValueClientCounts Counts() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
