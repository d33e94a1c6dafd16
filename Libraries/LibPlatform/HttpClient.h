#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// One HTTP request to a platform service.
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mUrl;
  std::string mBody; ///< JSON; sent with POST only.
  Duration mTimeout{};
  /// Whether a GET call uses a connection of its own, as all others do, so that
  /// no late copy of an earlier answer is taken for its answer.
  bool mOwnConnection = false;
};

struct HttpResponse
{
  int mStatus = 0;
  std::string mBody;
  Duration mRetryAfter{}; ///< Retry-After of an error response, or 0.
};

/// Blocking HTTP client using libcurl, with a pool of handles that keep the
/// connections of GET calls open. Thread-safe.
class HttpClient
{
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Errors: Unavailable if nothing was sent, OutcomeUnknown if the request may
  /// have arrived. A response of any status counts as success. Never sends a
  /// POST or DELETE request twice.
  ErrorOr<HttpResponse> Call(const HttpCall& aCall);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// The client shared by all code that does not create its own.
HttpClient& SharedHttpClient();

/// Percent-encodes all bytes except ASCII letters, digits and "-._~".
std::string EncodeQuery(const std::string& aText);

} // namespace Acaciavale
