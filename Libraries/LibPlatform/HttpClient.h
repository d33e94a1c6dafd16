#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// One call to the platform.
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mUrl;
  std::string mBody; ///< JSON; sent with POST only.
  Duration mTimeout{};
};

struct HttpResponse
{
  int mStatus = 0;
  std::string mBody;
  Duration mRetryAfter{}; ///< From the header; 0 where there is none.
};

/// Blocking HTTP by libcurl over a pool of handles that keep connections.
/// Thread-safe.
class HttpClient
{
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Errors: Unavailable when nothing was sent, OutcomeUnknown when the request
  /// may have arrived. Any status is an answer. Never sends a POST or a DELETE
  /// twice.
  ErrorOr<HttpResponse> Call(const HttpCall& aCall);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// The client that all calls without a client of their own share.
HttpClient& SharedHttpClient();

/// Percent-encodes all but letters, digits and "-._~".
std::string EncodeQuery(const std::string& aText);

} // namespace Acaciavale
