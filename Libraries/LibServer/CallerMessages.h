#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

/// Interface between the HTTP listener and the exchanges. It does not include
/// the large headers of the HTTP library.
namespace Acaciavale {

/// A request of a caller, with the headers that the exchanges use.
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

/// Functions that answer a caller. All must be called on the thread that
/// received the request.
struct CallerResponse
{
  /// Sends a complete answer.
  std::function<
    void(int aStatus, const ResponseHeaders& aHeaders, std::string aBody)>
    mSend;
  std::function<void(int aStatus, const ResponseHeaders& aHeaders)>
    mStartStream;
  /// Writes bytes to the stream; aWritten is called once they have been sent.
  std::function<void(std::string aBytes, std::function<void()> aWritten)>
    mWrite;
  std::function<void()> mFinish;
  /// Registers a function that is called once if the caller's connection closes
  /// before the answer is sent.
  std::function<void(std::function<void()> aOnClose)> mAddCloseCallback;
};

using CallerHandler =
  std::function<void(CallerRequest aRequest, CallerResponse aResponse)>;

} // namespace Acaciavale
