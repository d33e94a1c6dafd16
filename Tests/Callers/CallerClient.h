#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP client that calls the system like an external caller, for the
/// demonstration and the history checks.
namespace Acaciavale {

struct ClientRequest
{
  std::string mAddress; ///< IP address and port of a VM.
  std::string mMethod = "GET";
  std::string mPath;
  std::string mApiKey; ///< API key of the client account; empty for none.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  long mTimeoutMilliseconds = 60'000;
};

struct ClientResponse
{
  bool mTransferred = false; ///< The complete HTTP response arrived.
  bool mConnected = false;   ///< The connection was established.
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; ///< Header names are lower-case.
  std::string mBody;
};

/// Sends one request and blocks until the response ends or the timeout passes.
/// aOnBytes is called with each part of the body as it arrives.
ClientResponse SendRequest(
  const ClientRequest& aRequest,
  const std::function<void(std::string_view)>& aOnBytes = {});

/// Parsed response of a chat request, streamed or not.
struct ChatResponse
{
  /// The response arrived to its end, without an error.
  bool mComplete = false;
  /// Generated text; for a stream, of all events in order.
  std::string mContent;
  std::string mModel;
  std::string mVersion;
  std::string mStages;
  long mCostMicros = 0;
  std::string mRequestId;
  std::string mError;    ///< Reason of a refusal or an error event.
  std::string mExecuted; ///< "no" or "unknown" after a refusal or error event.
};

ChatResponse ParseChatResponse(const ClientResponse& aResponse);

/// Returns the JSON body of a chat request with one user message.
std::string MakeChatBody(const std::string& aModel,
                         const std::string& aPrompt,
                         bool aStream,
                         int aMaxTokens);

} // namespace Acaciavale
