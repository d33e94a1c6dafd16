#pragma once

#include "Problem.h"

#include <Acaciavale/LibCore/Error.h>

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

/// Parsing and formatting of the JSON bodies of chat requests and answers.
namespace Acaciavale {

/// The parsed chat request of a caller.
struct ChatRequest
{
  std::string mTarget; ///< Name of the requested model or cascade.
  bool mStream = false;
  std::int64_t mPromptTokens = 0; ///< Estimated from the size of the body.
  std::int64_t mMaxOutputTokens = 0;
  std::uint64_t mPrefixHash = 0; ///< Hash of the first block of the prompt.
  std::string mBody;             ///< The request body as received.

  auto operator<=>(const ChatRequest&) const = default;
};

/// The parsed answer of an engine, or the last chunk of a streamed answer.
struct EngineAnswer
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;
  double mConfidence = 1;
  std::string mContent; ///< Text of the answer; empty for a last chunk.

  auto operator<=>(const EngineAnswer&) const = default;
};

/// Information about the request that is added to the answer.
struct ChatReceipt
{
  std::string mRequestId;
  std::string mModel;
  std::string mVersion;
  std::string mStages; ///< "model/version" of each stage, space-separated.
  std::int64_t mCostMicros = 0;
  std::string mCurrency;

  auto operator<=>(const ChatReceipt&) const = default;
};

tl::expected<ChatRequest, Problem> ParseChatRequest(const std::string& aBody);

/// The caller's body with the values of "model" and "stream" replaced.
std::string BuildEngineBody(const ChatRequest& aRequest,
                            const std::string& aModel,
                            bool aStream);

/// Parses a complete answer or the last chunk of a stream. Fails with
/// ErrorCode::Invalid if it contains no usage.
ErrorOr<EngineAnswer> ParseEngineAnswer(std::string_view aJson);

/// Adds the receipt to a complete answer or to the last chunk of a stream.
std::string AddReceipt(std::string_view aJson, const ChatReceipt& aReceipt);

/// Formats a complete answer as an event stream, including the receipt.
std::string BuildEventStream(const EngineAnswer& aAnswer,
                             const ChatReceipt& aReceipt);

/// The server-sent event that ends an incomplete stream.
std::string ErrorEvent(const Problem& aProblem, const std::string& aRequestId);

} // namespace Acaciavale
