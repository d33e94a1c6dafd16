#include "Problem.h"

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t RetryAfterSeconds(const Problem& aProblem)
{
  const auto seconds =
    std::chrono::ceil<std::chrono::seconds>(aProblem.mRetryAfter).count();
  return seconds;
}

} // namespace

std::string ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return aStatus < 400 ? "OK" : "Error";
  }
}

Problem WithEarlierRun(Problem aProblem, bool aMayHaveRun)
{
  if (aMayHaveRun) {
    aProblem.mExecuted = Executed::Unknown;
  }
  return aProblem;
}

std::string ProblemBody(const Problem& aProblem, const std::string& aRequestId)
{
  Json body;
  body["type"] = "about:blank";
  body["title"] = ReasonPhrase(aProblem.mStatus);
  body["status"] = aProblem.mStatus;
  body["reason"] = aProblem.mReason;
  body["detail"] = aProblem.mDetail;
  body["advice"] = aProblem.mAdvice;
  body["ran"] = aProblem.mExecuted == Executed::No ? "no" : "unknown";
  if (aProblem.mRetryAfter > Duration::zero()) {
    body["retry_after_seconds"] = RetryAfterSeconds(aProblem);
  }
  if (!aRequestId.empty()) {
    body["request"] = aRequestId;
  }
  // NOTE: The detail may contain a model name sent by the caller. Invalid UTF-8
  //       is replaced, because dump() would throw otherwise.
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void SendProblem(const CallerResponse& aResponse,
                 const Problem& aProblem,
                 const std::string& aRequestId)
{
  ResponseHeaders headers{ { "Content-Type", "application/problem+json" } };
  if (!aRequestId.empty()) {
    headers.emplace_back("X-Request-Id", aRequestId);
  }
  if (aProblem.mRetryAfter > Duration::zero()) {
    headers.emplace_back("Retry-After",
                         std::to_string(RetryAfterSeconds(aProblem)));
  }
  aResponse.mSend(aProblem.mStatus, headers, ProblemBody(aProblem, aRequestId));
}

} // namespace Acaciavale
