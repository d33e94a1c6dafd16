#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// Configuration of an HttpKeyValueClient.
struct KeyValueClientOptions
{
  std::string mAddress; ///< IP address and port, such as "127.0.0.1:2379".
  Duration mTimeout = std::chrono::milliseconds(800); ///< Timeout of each call.
  double mCallsPerSecond = 20;   ///< Sustained rate of the call budget.
  std::int64_t mCallBurst = 100; ///< Calls allowed in a burst.
  /// Time before the open circuit breaker admits a probe call.
  Duration mBreakerOpenTime = std::chrono::milliseconds(500);

  auto operator<=>(const KeyValueClientOptions&) const = default;
};

/// Counters of one client since its construction.
struct KeyValueClientCounts
{
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
  std::int64_t mFailures = 0;
  std::int64_t mRefusedByBudget = 0;
  std::int64_t mRefusedByBreaker = 0;

  auto operator<=>(const KeyValueClientCounts&) const = default;
};

/// HTTP client of the key-value service, using libcurl. Thread-safe.
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
