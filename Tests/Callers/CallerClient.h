#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// A caller of the system, for the demonstration, the history checks and the
/// load driver.
namespace Acaciavale {

struct ClientRequest
{
  std::string mAddress; ///< IP number and port of a VM.
  std::string mMethod = "GET";
  std::string mPath;
  std::string mApiKey; ///< The client account's key.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  long mTimeoutMilliseconds = 60'000;
};

struct ClientResponse
{
  bool mTransferred = false; ///< The whole of the HTTP answer arrived.
  bool mConnected = false;   ///< A connection came about.
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
};

/// Makes one call and blocks until it is over. aOnBytes sees the body as it
/// arrives.
ClientResponse SendRequest(
  const ClientRequest& aRequest,
  const std::function<void(std::string_view)>& aOnBytes = {});

/// What a chat answer, whole or streamed, came to.
struct ChatResponse
{
  bool mComplete = false; ///< It ended as a whole answer does.
  std::string mContent;   ///< All content in order.
  std::string mModel;
  std::string mVersion;
  std::string mStages;
  long mCostMicros = 0;
  std::string mRequestId;
  std::string mError;    ///< Reason of a refusal or of an error event.
  std::string mExecuted; ///< "no" or "unknown" where it was refused.
};

ChatResponse ParseChatResponse(const ClientResponse& aResponse);

/// A chat request's body with one user message.
std::string MakeChatBody(const std::string& aModel,
                         const std::string& aPrompt,
                         bool aStream,
                         int aMaxTokens);

} // namespace Acaciavale
