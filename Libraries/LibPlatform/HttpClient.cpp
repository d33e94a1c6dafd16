#include "LibPlatform/HttpClient.h"

#include <Acaciavale/LibCore/ResponseHeadProgress.h>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <mutex>
#include <vector>

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxIdleHandles = 16;
/// Far above a page of the store, the largest response.
constexpr std::size_t kMaximumBodyBytes = 64U << 20;
constexpr long kMaxConnectionsPerHandle = 32;
constexpr int kFirstErrorStatus = 400;

struct CurlDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

using Handle = std::unique_ptr<CURL, CurlDeleter>;

struct ListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

/// A request body and the number of its bytes sent so far.
struct Upload
{
  const std::string& mBody;
  std::size_t mSent = 0;
};

std::size_t ReadBody(char* aTo,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aFrom)
{
  auto& upload = *static_cast<Upload*>(aFrom);
  const std::size_t bytes =
    std::min(aSize * aCount, upload.mBody.size() - upload.mSent);
  std::copy_n(upload.mBody.data() + upload.mSent, bytes, aTo);
  upload.mSent += bytes;
  return bytes;
}

std::size_t WriteBody(char* aFrom,
                      std::size_t aSize,
                      std::size_t aCount,
                      void* aTo)
{
  std::string& body = *static_cast<std::string*>(aTo);
  // NOTE: Returning less than the received size makes libcurl abort the call.
  if (body.size() + aSize * aCount > kMaximumBodyBytes) {
    return 0;
  }
  body.append(aFrom, aSize * aCount);
  return aSize * aCount;
}

std::size_t OnHeadLine(char* aBytes,
                       std::size_t aSize,
                       std::size_t aCount,
                       void* aProgress)
{
  auto& progress = *static_cast<ResponseHeadProgress*>(aProgress);
  progress = WithHeadLine(progress, { aBytes, aSize * aCount });
  return HeadProblem(progress).empty() ? aSize * aCount : 0;
}

long Milliseconds(Duration aTime)
{
  const auto whole =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  return std::max<long>(1, static_cast<long>(whole));
}

HeaderList HeadersOf(const HttpCall& aCall)
{
  // NOTE: An empty Expect header keeps libcurl from waiting for a 100 response
  //       before it sends the body.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (aCall.mMethod == "POST") {
    list = curl_slist_append(list, "Content-Type: application/json");
  }
  return HeaderList(list);
}

void SetMethod(CURL* aHandle, const HttpCall& aCall, Upload& aUpload)
{
  if (aCall.mMethod == "GET") {
    return;
  }
  if (aCall.mMethod != "POST") {
    curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
    return;
  }
  // NOTE: No seek function is set, so that libcurl cannot rewind the body and
  //       resend a request that may have been executed.
  curl_easy_setopt(aHandle, CURLOPT_POST, 1L);
  curl_easy_setopt(aHandle, CURLOPT_READFUNCTION, ReadBody);
  curl_easy_setopt(aHandle, CURLOPT_READDATA, &aUpload);
  curl_easy_setopt(aHandle,
                   CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(aCall.mBody.size()));
}

/// Whether the call must not use a connection that another call has used.
/// Nothing else ties an answer to its call: a late copy of an earlier answer
/// would be taken for it. Also, libcurl resends a request when a reused
/// connection turns out to be dead, even though it may have been executed.
bool NeedsOwnConnection(const HttpCall& aCall)
{
  return aCall.mOwnConnection || aCall.mMethod != "GET";
}

void SetOptions(CURL* aHandle, const HttpCall& aCall, std::string& aBody)
{
  curl_easy_setopt(aHandle, CURLOPT_URL, aCall.mUrl.c_str());
  curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(aHandle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(aHandle, CURLOPT_MAXCONNECTS, kMaxConnectionsPerHandle);
  curl_easy_setopt(aHandle, CURLOPT_TIMEOUT_MS, Milliseconds(aCall.mTimeout));
  curl_easy_setopt(aHandle, CURLOPT_WRITEFUNCTION, WriteBody);
  curl_easy_setopt(aHandle, CURLOPT_WRITEDATA, &aBody);
  if (NeedsOwnConnection(aCall)) {
    curl_easy_setopt(aHandle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(aHandle, CURLOPT_FORBID_REUSE, 1L);
  }
}

/// Whether the request may have reached the server.
bool MayHaveArrived(CURL* aHandle, CURLcode aResult)
{
  if (aResult == CURLE_COULDNT_CONNECT ||
      aResult == CURLE_COULDNT_RESOLVE_HOST) {
    return false;
  }
  long sent = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0;
}

HttpResponse ResponseOf(CURL* aHandle, std::string aBody)
{
  long status = 0;
  curl_off_t retryAfter = 0;
  curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &status);
  if (status >= kFirstErrorStatus) {
    curl_easy_getinfo(aHandle, CURLINFO_RETRY_AFTER, &retryAfter);
  }
  return { static_cast<int>(status),
           std::move(aBody),
           std::chrono::seconds(retryAfter) };
}

} // namespace

struct HttpClient::Private
{
  Handle AcquireHandle()
  {
    const std::lock_guard lock(mMutex);
    if (mIdleHandles.empty()) {
      return Handle(curl_easy_init());
    }
    Handle handle = std::move(mIdleHandles.back());
    mIdleHandles.pop_back();
    return handle;
  }

  void ReleaseHandle(Handle aHandle)
  {
    curl_easy_reset(aHandle.get());
    const std::lock_guard lock(mMutex);
    if (mIdleHandles.size() < kMaxIdleHandles) {
      mIdleHandles.push_back(std::move(aHandle));
    }
  }

  std::mutex mMutex;
  std::vector<Handle> mIdleHandles;
};

HttpClient::HttpClient()
  : mPrivate(std::make_unique<Private>())
{
  static const CURLcode sInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(sInitialised);
}

HttpClient::~HttpClient() = default;

ErrorOr<HttpResponse> HttpClient::Call(const HttpCall& aCall)
{
  if (aCall.mTimeout <= Duration::zero()) {
    return MakeError(ErrorCode::Unavailable,
                     "The timeout of the HTTP call has already expired.");
  }
  Handle handle = mPrivate->AcquireHandle();
  if (!handle) {
    return MakeError(ErrorCode::Unavailable,
                     "Creating a libcurl handle failed.");
  }
  std::string body;
  Upload upload{ aCall.mBody };
  const HeaderList headers = HeadersOf(aCall);
  SetOptions(handle.get(), aCall, body);
  SetMethod(handle.get(), aCall, upload);
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  ResponseHeadProgress headProgress;
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, OnHeadLine);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &headProgress);
  const CURLcode result = curl_easy_perform(handle.get());
  if (result != CURLE_OK) {
    const bool arrived = MayHaveArrived(handle.get(), result);
    const std::string_view problem = HeadProblem(headProgress);
    return MakeError(
      arrived ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
      problem.empty() ? curl_easy_strerror(result) : std::string(problem));
  }
  if (!headProgress.mIsComplete) {
    return MakeError(ErrorCode::OutcomeUnknown,
                     "The connection was closed within the response head.");
  }
  HttpResponse response = ResponseOf(handle.get(), std::move(body));
  mPrivate->ReleaseHandle(std::move(handle));
  return response;
}

HttpClient& SharedHttpClient()
{
  static HttpClient sClient;
  return sClient;
}

std::string EncodeQuery(const std::string& aText)
{
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || std::strchr("-._~", letter) != nullptr) {
      encoded.push_back(letter);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4]);
    encoded.push_back(kHexDigits[byte & 15]);
  }
  return encoded;
}

} // namespace Acaciavale
