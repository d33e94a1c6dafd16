#include "FuzzTargets.h"

#include <HeaderCodec.h>

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/EventStreamParser.h>
#include <Acaciavale/LibRelay/SecondResponse.h>
#include <LibRelay/BoundedParser.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/dynamic_body.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Acaciavale::Fuzz {

namespace {

namespace http = boost::beast::http;
using namespace Relay;

constexpr std::uint32_t kMaximumHeadBytes = 131072;
constexpr std::uint64_t kMaximumBodyBytes = 65536;

constexpr char kPost[] =
  "POST /once/x?a=1 HTTP/1.1\r\nHost: a.example:80\r\nAttempt-Id: 1\r\n"
  "Deadline-Ms: 4000\r\nKey: key-1\r\nModel: *\r\nToken-Usage: 1460,80\r\n"
  "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
  "Length-Hint: 90\r\nSession: s\r\n"
  "Last-Event-Id: 3\r\nConnection: keep-alive, x\r\nContent-Length: 4\r\n\r\n"
  "body";
constexpr char kChunks[] =
  "POST /once/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n"
  "\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-Trailer: a\r\n\r\n";
constexpr char kAnswer[] =
  "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nReplica-Stamp: a\r\n"
  "Replica-Load: 1,0,64\r\nConfidence: 57\r\nServer-Limit: 1.5\r\n"
  "Content-Type: text/event-stream; charset=utf-8\r\n"
  "Content-Length: 4\r\n\r\nbody";
constexpr char kRefusal[] =
  "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\n"
  "Server-Leaving: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n";
constexpr char kEvents[] =
  "id: 1\ndata: a\n\n: comment\n\nweight-versions: 3\nid: 2\nevent: b\n"
  "data: c\n\nid: 3\r\nretry: 5\r\ndata: d\r\n\r\n";

/// Parses the parts as one message. Returns whether its head is complete.
template<bool kIsRequest, class Body>
bool Parse(BoundedParser<kIsRequest, Body>& aParser,
           std::string_view aInput,
           std::uint64_t aSplit)
{
  aParser.body_limit(kMaximumBodyBytes);
  aParser.eager(true);
  boost::beast::flat_buffer buffer;
  boost::system::error_code failure;
  ForEachPart(aInput, aSplit, [&](std::string_view aPart) {
    buffer.commit(boost::asio::buffer_copy(
      buffer.prepare(aPart.size()),
      boost::asio::const_buffer(aPart.data(), aPart.size())));
    while (!failure && !aParser.is_done() && buffer.size() > 0) {
      const std::size_t parsed = aParser.put(buffer.data(), failure);
      buffer.consume(parsed);
      if (failure == http::error::need_more) {
        failure = {};
        break;
      }
      if (parsed == 0) {
        break;
      }
    }
  });
  return aParser.is_header_done() && !failure;
}

void RunRequest(std::string_view aInput, std::uint64_t aSplit)
{
  static const WireCodec codec = Platform::HeaderCodec();
  BoundedParser<true, http::string_body> parser(kMaximumHeadBytes);
  if (!Parse(parser, aInput, aSplit)) {
    return;
  }
  const RequestHead& head = parser.get().base();
  const CallerRequest request = codec.mDecodeRequest(head);
  AttemptOptions options;
  options.mEndpointId = "i-1";
  options.mAccount = "first";
  options.mModel = "small";
  options.mLastEventId = request.mLastEventId;
  options.mUrgency = 3;
  options.mBodyBytes = parser.get().body().size();
  codec.mEncodeAttempt(head, options);
  codec.mEncodeRefusal({ 503, "reason", std::chrono::seconds(1) }, request);
}

void RunResponse(std::string_view aInput, std::uint64_t aSplit)
{
  static const WireCodec codec = Platform::HeaderCodec();
  // NOTE: A string reserves the length that the head states.
  BoundedParser<false, http::basic_dynamic_body<boost::beast::flat_buffer>>
    parser(kMaximumHeadBytes);
  if (!Parse(parser, aInput, aSplit)) {
    return;
  }
  CallerRequest request;
  request.mId = "1";
  const ResponseHead& head = parser.get().base();
  codec.mDecodeResponse(head, request);
  codec.mEncodeResponse(head);
}

/// A second response anywhere in the bytes that follow a head.
void RunSecondResponse(std::string_view aInput, std::uint64_t aSplit)
{
  ResponseHead head;
  head.result(200);
  head.set("Attempt-Id", "1");
  const auto isHeadOfRequest = [](const ResponseHead& aHead) {
    return aHead["Attempt-Id"] == "1";
  };
  const auto second = FindSecondResponse(aInput, head, isHeadOfRequest);
  if (second) {
    CompareResponses(aInput.substr(0, aSplit % (aInput.size() + 1)), *second);
  }
}

void RunEvents(std::string_view aInput, std::uint64_t aSplit)
{
  EventStreamParser parser({ "weight-versions" });
  std::string events;
  ForEachPart(aInput, aSplit, [&](std::string_view aPart) {
    for (const StreamEvent& event : parser.Append(aPart)) {
      events += event.mText;
    }
  });
  // Whatever is forwarded is what was received, in its order.
  if (!aInput.starts_with(events)) {
    throw std::logic_error("an event was not received like that");
  }
}

} // namespace

void ForEachPart(std::string_view aInput,
                 std::uint64_t aSplit,
                 const std::function<void(std::string_view)>& aUse)
{
  Random random(aSplit);
  // Some inputs arrive whole, some byte by byte, most in parts of any size.
  const std::uint64_t kind = random.Below(8);
  while (!aInput.empty()) {
    const std::size_t size = kind == 0   ? aInput.size()
                             : kind == 1 ? 1
                                         : 1 + random.Below(aInput.size());
    aUse(aInput.substr(0, size));
    aInput.remove_prefix(size);
  }
}

std::vector<FuzzTarget> HttpTargets()
{
  return { { "request", { kPost, kChunks }, RunRequest },
           { "response", { kAnswer, kRefusal }, RunResponse },
           { "second-response",
             { std::string("first") + kAnswer, std::string(kEvents) + kAnswer },
             RunSecondResponse },
           { "events", { kEvents }, RunEvents } };
}

} // namespace Acaciavale::Fuzz
