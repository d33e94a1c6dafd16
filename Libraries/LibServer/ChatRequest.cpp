#include "ChatRequest.h"

#include <Acaciavale/LibPlatform/LoadReport.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::int64_t kBytesPerToken = 4;
constexpr std::int64_t kDefaultOutputTokens = 256;
constexpr std::int64_t kMaxOutputTokens = 131'072;
constexpr std::size_t kMaxNameBytes = 256;

Problem BadRequest(std::string aDetail, std::string aAdvice)
{
  return Problem{
    400, "bad-request", std::move(aDetail), std::move(aAdvice), Executed::No
  };
}

std::string Serialize(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ReceiptJson(const ChatReceipt& aReceipt)
{
  return {
    { "request", aReceipt.mRequestId },      { "model", aReceipt.mModel },
    { "version", aReceipt.mVersion },        { "stages", aReceipt.mStages },
    { "cost_micros", aReceipt.mCostMicros }, { "currency", aReceipt.mCurrency }
  };
}

std::string FormatEvent(const Json& aJson)
{
  return "data: " + Serialize(aJson) + "\n\n";
}

/// The contents of all messages, each followed by a line feed.
std::string PromptText(const Json& aMessages)
{
  std::string prompt;
  for (const Json& message : aMessages) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      prompt += message["content"].get_ref<const std::string&>() + "\n";
    }
  }
  return prompt;
}

std::int64_t IntegerOr(const Json& aJson,
                       const char* aName,
                       std::int64_t aDefault)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_number_integer()
           ? found->get<std::int64_t>()
           : aDefault;
}

} // namespace

tl::expected<ChatRequest, Problem> ParseChatRequest(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return tl::make_unexpected(BadRequest("The body is not a JSON object.",
                                          "Send a chat completion request."));
  }
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string() ||
      model->get_ref<const std::string&>().size() > kMaxNameBytes) {
    return tl::make_unexpected(
      BadRequest("The body does not name a model.",
                 "Set \"model\" to the name of a model or a cascade."));
  }
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return tl::make_unexpected(
      BadRequest("The body contains no messages.",
                 "Set \"messages\" to an array of at least one message."));
  }
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_boolean()) {
    return tl::make_unexpected(
      BadRequest("\"stream\" is neither true nor false.", "Send a boolean."));
  }
  ChatRequest request;
  request.mTarget = model->get<std::string>();
  request.mStream = stream != json.end() && stream->get<bool>();
  request.mPromptTokens =
    1 + static_cast<std::int64_t>(aBody.size()) / kBytesPerToken;
  request.mMaxOutputTokens = std::clamp<std::int64_t>(
    IntegerOr(json, "max_tokens", kDefaultOutputTokens), 1, kMaxOutputTokens);
  request.mPrefixHash = PromptPrefixHash(PromptText(*messages));
  request.mBody = aBody;
  return request;
}

std::string BuildEngineBody(const ChatRequest& aRequest,
                            const std::string& aModel,
                            bool aStream)
{
  Json json = Json::parse(aRequest.mBody, nullptr, false);
  json["model"] = aModel;
  json["stream"] = aStream;
  return Serialize(json);
}

ErrorOr<EngineAnswer> ParseEngineAnswer(std::string_view aJson)
{
  const Json json = Json::parse(aJson, nullptr, false);
  if (json.is_discarded() || !json.is_object() || !json.contains("usage") ||
      !json["usage"].is_object()) {
    return MakeError(ErrorCode::Invalid,
                     "the engine's answer contains no usage");
  }
  EngineAnswer answer;
  answer.mPromptTokens = IntegerOr(json["usage"], "prompt_tokens", 0);
  answer.mCompletionTokens = IntegerOr(json["usage"], "completion_tokens", 0);
  if (json.contains("confidence") && json["confidence"].is_number()) {
    answer.mConfidence = json["confidence"].get<double>();
  }
  const auto content = Json::json_pointer("/choices/0/message/content");
  if (json.contains(content) && json[content].is_string()) {
    answer.mContent = json[content].get<std::string>();
  }
  return answer;
}

std::string AddReceipt(std::string_view aJson, const ChatReceipt& aReceipt)
{
  Json json = Json::parse(aJson, nullptr, false);
  json["acaciavale"] = ReceiptJson(aReceipt);
  return Serialize(json);
}

std::string BuildEventStream(const EngineAnswer& aAnswer,
                             const ChatReceipt& aReceipt)
{
  const Json content{
    { "id", aReceipt.mRequestId },
    { "model", aReceipt.mModel },
    { "choices",
      Json::array({ { { "index", 0 },
                      { "delta", { { "content", aAnswer.mContent } } } } }) }
  };
  const Json last{ { "id", aReceipt.mRequestId },
                   { "model", aReceipt.mModel },
                   { "choices",
                     Json::array({ { { "index", 0 },
                                     { "delta", Json::object() },
                                     { "finish_reason", "stop" } } }) },
                   { "usage",
                     { { "prompt_tokens", aAnswer.mPromptTokens },
                       { "completion_tokens", aAnswer.mCompletionTokens } } },
                   { "confidence", aAnswer.mConfidence },
                   { "acaciavale", ReceiptJson(aReceipt) } };
  return FormatEvent(content) + FormatEvent(last) + "data: [DONE]\n\n";
}

std::string ErrorEvent(const Problem& aProblem, const std::string& aRequestId)
{
  return "event: error\ndata: " + ProblemBody(aProblem, aRequestId) + "\n\n";
}

} // namespace Acaciavale
