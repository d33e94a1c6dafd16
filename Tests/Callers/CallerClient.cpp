#include "CallerClient.h"

#include <algorithm>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

struct ResponseSink
{
  ClientResponse& mResponse;
  const std::function<void(std::string_view)>& mOnBytes;
};

std::size_t OnBytes(char* aBytes,
                    std::size_t aSize,
                    std::size_t aCount,
                    void* aSink)
{
  auto& sink = *static_cast<ResponseSink*>(aSink);
  const std::string_view bytes(aBytes, aSize * aCount);
  sink.mResponse.mBody.append(bytes);
  if (sink.mOnBytes) {
    sink.mOnBytes(bytes);
  }
  return bytes.size();
}

std::size_t OnHeader(char* aBytes,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aSink)
{
  auto& response = static_cast<ResponseSink*>(aSink)->mResponse;
  std::string_view line(aBytes, aSize * aCount);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  const std::size_t colon = line.find(": ");
  if (colon != std::string_view::npos) {
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
    response.mHeaders[name] = line.substr(colon + 2);
  }
  return aSize * aCount;
}

std::string TextOf(const Json& aJson, const char* aPointer)
{
  const Json::json_pointer pointer(aPointer);
  return aJson.contains(pointer) && aJson[pointer].is_string()
           ? aJson[pointer].get<std::string>()
           : std::string();
}

void ApplyReceipt(const Json& aJson, ChatResponse& aResponse)
{
  if (!aJson.contains("acaciavale")) {
    return;
  }
  const Json& receipt = aJson["acaciavale"];
  aResponse.mModel = receipt.value("model", "");
  aResponse.mVersion = receipt.value("version", "");
  aResponse.mStages = receipt.value("stages", "");
  aResponse.mRequestId = receipt.value("request", "");
  aResponse.mCostMicros = receipt.value("cost_micros", 0L);
}

void ApplyProblem(const Json& aJson, ChatResponse& aResponse)
{
  aResponse.mError = aJson.value("reason", "unreadable");
  aResponse.mExecuted = aJson.value("ran", "unknown");
  aResponse.mRequestId = aJson.value("request", "");
}

void ApplyEvent(const std::string& aEvent, bool& aDone, ChatResponse& aResponse)
{
  const std::size_t data = aEvent.find("data: ");
  if (data == std::string::npos) {
    return;
  }
  const std::string text = aEvent.substr(data + 6);
  if (text == "[DONE]") {
    aDone = true;
    return;
  }
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    aResponse.mError = "unreadable";
  } else if (aEvent.rfind("event: error", 0) == 0) {
    ApplyProblem(json, aResponse);
  } else {
    aResponse.mContent += TextOf(json, "/choices/0/delta/content");
    ApplyReceipt(json, aResponse);
  }
}

} // namespace

ClientResponse SendRequest(
  const ClientRequest& aRequest,
  const std::function<void(std::string_view)>& aOnBytes)
{
  ClientResponse response;
  ResponseSink sink{ response, aOnBytes };
  CURL* handle = curl_easy_init();
  const std::string url = "http://" + aRequest.mAddress + aRequest.mPath;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, aRequest.mTimeoutMilliseconds);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &sink);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &sink);
  if (aRequest.mMethod != "GET") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aRequest.mMethod.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aRequest.mBody.data());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.mBody.size()));
  }
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  if (!aRequest.mApiKey.empty()) {
    const std::string line = "Authorization: Bearer " + aRequest.mApiKey;
    headers = curl_slist_append(headers, line.c_str());
  }
  for (const auto& [name, value] : aRequest.mHeaders) {
    std::string line = name;
    line.append(": ").append(value);
    headers = curl_slist_append(headers, line.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  response.mTransferred = curl_easy_perform(handle) == CURLE_OK;
  long status = 0;
  long connects = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connects);
  response.mStatus = static_cast<int>(status);
  response.mConnected = connects > 0;
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return response;
}

ChatResponse ParseChatResponse(const ClientResponse& aResponse)
{
  ChatResponse chat;
  const auto type = aResponse.mHeaders.find("content-type");
  const bool isEventStream =
    type != aResponse.mHeaders.end() && type->second == "text/event-stream";
  if (!isEventStream) {
    const Json json = Json::parse(aResponse.mBody, nullptr, false);
    if (aResponse.mStatus != 200 || !json.is_object()) {
      ApplyProblem(json.is_object() ? json : Json::object(), chat);
      return chat;
    }
    chat.mContent = TextOf(json, "/choices/0/message/content");
    ApplyReceipt(json, chat);
    chat.mComplete = aResponse.mTransferred;
    return chat;
  }
  bool done = false;
  std::size_t start = 0;
  for (std::size_t end = aResponse.mBody.find("\n\n"); end != std::string::npos;
       end = aResponse.mBody.find("\n\n", start)) {
    ApplyEvent(aResponse.mBody.substr(start, end - start), done, chat);
    start = end + 2;
  }
  chat.mComplete = done && aResponse.mTransferred && chat.mError.empty();
  return chat;
}

std::string MakeChatBody(const std::string& aModel,
                         const std::string& aPrompt,
                         bool aStream,
                         int aMaxTokens)
{
  const Json body{ { "model", aModel },
                   { "messages",
                     Json::array(
                       { { { "role", "user" }, { "content", aPrompt } } }) },
                   { "max_tokens", aMaxTokens },
                   { "stream", aStream } };
  return body.dump();
}

} // namespace Acaciavale
