#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

/// What the HTTP listener hands to the exchanges, free of its heavy headers.
namespace Acaciavale {

/// One request of a caller, with the headers that are looked at.
struct CallerRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery;
  std::string mAuthorization;
  std::string mSessionToken;
  std::string mIdempotencyKey;
  std::string mKind;
  std::string mDeadlineMilliseconds;
  std::string mContentType;
  std::string mBody;
};

using ResponseHeaders = std::vector<std::pair<std::string, std::string>>;

/// The way back to the caller, as plain functions. All are called on the
/// thread that the request came on.
struct CallerResponse
{
  /// Sends a whole answer.
  std::function<
    void(int aStatus, const ResponseHeaders& aHeaders, std::string aBody)>
    mSend;
  std::function<void(int aStatus, const ResponseHeaders& aHeaders)>
    mStartStream;
  /// Writes one piece of a stream; aWritten follows once it has gone out.
  std::function<void(std::string aBytes, std::function<void()> aWritten)>
    mWrite;
  std::function<void()> mFinish;
  /// Registers what is called, once, if the caller's connection closes.
  std::function<void(std::function<void()> aOnClose)> mOnClose;
};

using CallerHandler =
  std::function<void(CallerRequest aRequest, CallerResponse aResponse)>;

} // namespace Acaciavale
