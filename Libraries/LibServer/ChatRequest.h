#pragma once

#include "Problem.h"

#include <Acaciavale/LibCore/Error.h>

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

/// The bodies of chat requests and answers; all of their JSON is here.
namespace Acaciavale {

/// What is read of a caller's chat request.
struct ChatRequest
{
  std::string mTarget; ///< The model or cascade named.
  bool mStream = false;
  std::int64_t mPromptTokens = 0; ///< An estimate.
  std::int64_t mMaxOutputTokens = 0;
  std::uint64_t mPrefixHash = 0; ///< Of the prompt's first block.
  std::string mBody;             ///< As it came.

  auto operator<=>(const ChatRequest&) const = default;
};

/// What is read of an engine's answer, whole or last chunk.
struct EngineAnswer
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;
  double mConfidence = 1;
  std::string mContent; ///< Of a whole answer.

  auto operator<=>(const EngineAnswer&) const = default;
};

/// What is added to the answer for the caller.
struct ChatReceipt
{
  std::string mRequestId;
  std::string mModel;
  std::string mVersion;
  std::string mStages; ///< "model/version" of each stage run, spaced.
  std::int64_t mCostMicros = 0;
  std::string mCurrency;

  auto operator<=>(const ChatReceipt&) const = default;
};

tl::expected<ChatRequest, Problem> ParseChatRequest(const std::string& aBody);

/// The body for the engine: the caller's with model and stream replaced.
std::string BuildEngineBody(const ChatRequest& aRequest,
                            const std::string& aModel,
                            bool aStream);

/// Reads a whole answer or the last chunk of a stream; error Invalid.
ErrorOr<EngineAnswer> ParseEngineAnswer(std::string_view aJson);

/// The whole answer or last chunk with the receipt added.
std::string AddReceipt(std::string_view aJson, const ChatReceipt& aReceipt);

/// A whole answer as the events of a stream, receipt included.
std::string BuildEventStream(const EngineAnswer& aAnswer,
                             const ChatReceipt& aReceipt);

/// The event that ends a stream which could not be finished.
std::string ErrorEvent(const Problem& aProblem, const std::string& aRequestId);

} // namespace Acaciavale
