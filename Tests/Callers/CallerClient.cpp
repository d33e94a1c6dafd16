#include "CallerClient.h"

#include <algorithm>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

struct Receiving
{
  CallerAnswer& mAnswer;
  const std::function<void(std::string_view)>& mOnBytes;
};

std::size_t OnBytes(char* aBytes,
                    std::size_t aSize,
                    std::size_t aCount,
                    void* aReceiving)
{
  auto& receiving = *static_cast<Receiving*>(aReceiving);
  const std::string_view bytes(aBytes, aSize * aCount);
  receiving.mAnswer.mBody.append(bytes);
  if (receiving.mOnBytes) {
    receiving.mOnBytes(bytes);
  }
  return bytes.size();
}

std::size_t OnHeader(char* aBytes,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aReceiving)
{
  auto& answer = static_cast<Receiving*>(aReceiving)->mAnswer;
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
    answer.mHeaders[name] = line.substr(colon + 2);
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

void TakeReceipt(const Json& aJson, ChatAnswer& aAnswer)
{
  if (!aJson.contains("acaciavale")) {
    return;
  }
  const Json& receipt = aJson["acaciavale"];
  aAnswer.mModel = receipt.value("model", "");
  aAnswer.mVersion = receipt.value("version", "");
  aAnswer.mStages = receipt.value("stages", "");
  aAnswer.mRequest = receipt.value("request", "");
  aAnswer.mCostMicros = receipt.value("cost_micros", 0L);
}

void TakeProblem(const Json& aJson, ChatAnswer& aAnswer)
{
  aAnswer.mError = aJson.value("reason", "unreadable");
  aAnswer.mRan = aJson.value("ran", "unknown");
  aAnswer.mRequest = aJson.value("request", "");
}

void TakeEvent(const std::string& aEvent, bool& aDone, ChatAnswer& aAnswer)
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
    aAnswer.mError = "unreadable";
  } else if (aEvent.rfind("event: error", 0) == 0) {
    TakeProblem(json, aAnswer);
  } else {
    aAnswer.mContent += TextOf(json, "/choices/0/delta/content");
    TakeReceipt(json, aAnswer);
  }
}

} // namespace

CallerAnswer Call(const CallerCall& aCall,
                  const std::function<void(std::string_view)>& aOnBytes)
{
  CallerAnswer answer;
  Receiving receiving{ answer, aOnBytes };
  CURL* handle = curl_easy_init();
  const std::string url = "http://" + aCall.mAddress + aCall.mPath;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, aCall.mTimeoutMilliseconds);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &receiving);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &receiving);
  if (aCall.mMethod != "GET") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aCall.mBody.data());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aCall.mBody.size()));
  }
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  if (!aCall.mKey.empty()) {
    const std::string line = "Authorization: Bearer " + aCall.mKey;
    headers = curl_slist_append(headers, line.c_str());
  }
  for (const auto& [name, value] : aCall.mHeaders) {
    std::string line = name;
    line.append(": ").append(value);
    headers = curl_slist_append(headers, line.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  answer.mTransferred = curl_easy_perform(handle) == CURLE_OK;
  long status = 0;
  long connects = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connects);
  answer.mStatus = static_cast<int>(status);
  answer.mConnected = connects > 0;
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return answer;
}

ChatAnswer ReadChatAnswer(const CallerAnswer& aAnswer)
{
  ChatAnswer chat;
  const auto type = aAnswer.mHeaders.find("content-type");
  const bool events =
    type != aAnswer.mHeaders.end() && type->second == "text/event-stream";
  if (!events) {
    const Json json = Json::parse(aAnswer.mBody, nullptr, false);
    if (aAnswer.mStatus != 200 || !json.is_object()) {
      TakeProblem(json.is_object() ? json : Json::object(), chat);
      return chat;
    }
    chat.mContent = TextOf(json, "/choices/0/message/content");
    TakeReceipt(json, chat);
    chat.mWhole = aAnswer.mTransferred;
    return chat;
  }
  bool done = false;
  std::size_t start = 0;
  for (std::size_t end = aAnswer.mBody.find("\n\n"); end != std::string::npos;
       end = aAnswer.mBody.find("\n\n", start)) {
    TakeEvent(aAnswer.mBody.substr(start, end - start), done, chat);
    start = end + 2;
  }
  chat.mWhole = done && aAnswer.mTransferred && chat.mError.empty();
  return chat;
}

std::string ChatBody(const std::string& aModel,
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
