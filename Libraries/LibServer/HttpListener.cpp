#include "HttpListener.h"

#include "Problem.h"

#include <Acaciavale/LibCore/Text.h>
#include <atomic>
#include <restinio/all.hpp>
#include <unordered_map>

namespace Acaciavale {

namespace {

constexpr std::size_t kConnectionBufferBytes = 2048;
constexpr std::size_t kMaxUrlBytes = 4096;
constexpr std::size_t kMaxHeaderNameBytes = 256;
constexpr std::size_t kMaxHeaderValueBytes = 8192;
constexpr std::size_t kMaxHeaders = 64;
/// Number of connections accepted above the limit, in order to answer their
/// requests with a refusal.
constexpr std::int64_t kExtraConnections = 256;
/// Number of body bytes read above the limit, in order to send a refusal.
constexpr std::int64_t kExtraBodyBytes = 4 << 20;
constexpr auto kReadTimeout = std::chrono::seconds(15);
constexpr auto kWriteTimeout = std::chrono::seconds(60);
constexpr auto kHandlingTimeout = std::chrono::hours(1);
/// Maximum number of pipelined requests per connection: more than one, so that
/// the listener keeps reading and notices when a caller disconnects while its
/// answer is in progress.
constexpr std::size_t kMaxPipelinedRequests = 2;

/// Functions to call when a connection closes, by connection. Not thread-safe.
class ConnectionTable
{
public:
  void state_changed(const restinio::connection_state::notice_t& aNotice)
  {
    namespace State = restinio::connection_state;
    const auto id = aNotice.connection_id();
    if (restinio::holds_alternative<State::accepted_t>(aNotice.cause())) {
      mCloseCallbacks.try_emplace(id);
    } else if (restinio::holds_alternative<State::closed_t>(aNotice.cause())) {
      RunCloseCallbacks(id);
    }
  }

  void AddCloseCallback(restinio::connection_id_t aId,
                        std::function<void()> aOnClose)
  {
    mCloseCallbacks[aId].push_back(std::move(aOnClose));
  }

  void OnAnswerSent(restinio::connection_id_t aId)
  {
    const auto found = mCloseCallbacks.find(aId);
    if (found != mCloseCallbacks.end() && !found->second.empty()) {
      found->second.erase(found->second.begin());
    }
  }

  std::int64_t Count() const
  {
    return static_cast<std::int64_t>(mCloseCallbacks.size());
  }

private:
  void RunCloseCallbacks(restinio::connection_id_t aId)
  {
    const auto found = mCloseCallbacks.find(aId);
    if (found == mCloseCallbacks.end()) {
      return;
    }
    const auto callbacks = std::move(found->second);
    mCloseCallbacks.erase(found);
    for (const auto& callback : callbacks) {
      callback();
    }
  }

  std::unordered_map<restinio::connection_id_t,
                     std::vector<std::function<void()>>>
    mCloseCallbacks;
};

struct HttpServerTraits : public restinio::default_single_thread_traits_t
{
  using connection_state_listener_t = ConnectionTable;
  static constexpr bool use_connection_count_limiter = true;
};

using HttpServer = restinio::http_server_t<HttpServerTraits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t StatusLine(int aStatus)
{
  return { restinio::http_status_code_t{ static_cast<std::uint16_t>(aStatus) },
           ReasonPhrase(aStatus) };
}

std::string HeaderValue(const restinio::request_t& aRequest, const char* aName)
{
  return aRequest.header().get_field_or(aName, std::string{});
}

/// Whether the body was decoded. RESTinio decodes chunks, and leaves other
/// codings before them as they are.
bool IsBodyDecoded(const restinio::request_t& aRequest)
{
  using Fields = restinio::http_header_fields_t;
  bool isDecoded = true;
  aRequest.header().for_each_value_of(
    restinio::http_field::transfer_encoding,
    [&isDecoded](restinio::string_view_t aValue) {
      isDecoded = isDecoded && EqualsIgnoringCase(
                                 { aValue.data(), aValue.size() }, "chunked");
      return Fields::continue_enumeration();
    });
  return isDecoded;
}

CallerRequest MakeCallerRequest(const restinio::request_t& aRequest)
{
  CallerRequest request;
  request.mMethod = aRequest.header().method().c_str();
  request.mPath = std::string(aRequest.header().path());
  request.mQuery = std::string(aRequest.header().query());
  request.mAuthorization = HeaderValue(aRequest, "Authorization");
  request.mSessionToken = HeaderValue(aRequest, "X-Session");
  request.mIdempotencyKey = HeaderValue(aRequest, "Idempotency-Key");
  request.mKind = HeaderValue(aRequest, "X-Request-Kind");
  request.mDeadlineMilliseconds = HeaderValue(aRequest, "X-Deadline-Ms");
  request.mContentType = HeaderValue(aRequest, "Content-Type");
  request.mBody = aRequest.body();
  return request;
}

template<typename Builder>
void AppendHeaders(Builder& aBuilder, const ResponseHeaders& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    aBuilder.append_header(name, value);
  }
}

/// State of a listener that its owner accesses from other threads.
struct ListenerState
{
  std::atomic<std::int64_t> mUnansweredRequests{ 0 };
  std::atomic<bool> mCloseAfterAnswers{ false };
};

/// Counts one unanswered request during its own lifetime.
class UnansweredRequest
{
public:
  explicit UnansweredRequest(std::shared_ptr<ListenerState> aState)
    : mState(std::move(aState))
  {
    mState->mUnansweredRequests.fetch_add(1);
  }
  ~UnansweredRequest() { mState->mUnansweredRequests.fetch_sub(1); }
  UnansweredRequest(const UnansweredRequest&) = delete;
  UnansweredRequest& operator=(const UnansweredRequest&) = delete;

private:
  std::shared_ptr<ListenerState> mState;
};

template<typename Builder>
void SetConnectionClose(Builder& aBuilder, const ListenerState& aState)
{
  if (aState.mCloseAfterAnswers) {
    aBuilder.connection_close();
  }
}

CallerResponse MakeCallerResponse(
  const restinio::request_handle_t& aRequest,
  const std::shared_ptr<ConnectionTable>& aConnections,
  const std::shared_ptr<ListenerState>& aState)
{
  // The object is kept alive by the callback of the last write, or by the
  // response functions if there is no write.
  const auto unanswered = std::make_shared<UnansweredRequest>(aState);
  auto stream = std::make_shared<std::unique_ptr<StreamBuilder>>();
  const auto id = aRequest->connection_id();
  CallerResponse response;
  response.mSend =
    [aRequest, aConnections, aState, unanswered, id](
      int aStatus, const ResponseHeaders& aHeaders, std::string aBody) {
      auto builder = aRequest->create_response(StatusLine(aStatus));
      AppendHeaders(builder, aHeaders);
      builder.set_body(std::move(aBody));
      SetConnectionClose(builder, *aState);
      aConnections->OnAnswerSent(id);
      builder.done([unanswered](const auto&) {});
    };
  response.mStartStream = [aRequest, stream](int aStatus,
                                             const ResponseHeaders& aHeaders) {
    *stream = std::make_unique<StreamBuilder>(
      aRequest->create_response<restinio::chunked_output_t>(
        StatusLine(aStatus)));
    AppendHeaders(**stream, aHeaders);
  };
  response.mWrite = [stream](std::string aBytes,
                             std::function<void()> aWritten) {
    (*stream)->append_chunk(std::move(aBytes));
    (*stream)->flush([written = std::move(aWritten)](const auto& aError) {
      if (!aError && written) {
        written();
      }
    });
  };
  response.mFinish = [stream, aConnections, unanswered, id] {
    aConnections->OnAnswerSent(id);
    (*stream)->done([unanswered](const auto&) {});
  };
  response.mAddCloseCallback = [aConnections,
                                id](std::function<void()> aOnClose) {
    aConnections->AddCloseCallback(id, std::move(aOnClose));
  };
  return response;
}

asio::ip::tcp::endpoint ParseAddress(const std::string& aAddress,
                                     std::error_code& aError)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    aError = asio::error::invalid_argument;
    return {};
  }
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), aError);
  const int port = std::atoi(aAddress.c_str() + colon + 1);
  return { ip, static_cast<std::uint16_t>(port) };
}

} // namespace

struct HttpListener::Private
{
  Private(asio::io_context& aContext,
          ListenerLimits aLimits,
          CallerHandler aHandler)
    : mContext(aContext)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  asio::io_context& mContext;
  ListenerLimits mLimits;
  CallerHandler mHandler;
  std::shared_ptr<ConnectionTable> mConnections =
    std::make_shared<ConnectionTable>();
  std::shared_ptr<ListenerState> mState = std::make_shared<ListenerState>();
  std::unique_ptr<HttpServer> mServer;

  restinio::request_handling_status_t HandleRequest(
    const restinio::request_handle_t& aRequest)
  {
    CallerResponse response =
      MakeCallerResponse(aRequest, mConnections, mState);
    if (mConnections->Count() > mLimits.mMaxConnections) {
      SendProblem(response,
                  Problem{ 503,
                           "too-many-connections",
                           "This VM has too many connections.",
                           "Use another address from /v1/entries.",
                           Executed::No,
                           std::chrono::seconds(1) });
      return restinio::request_accepted();
    }
    if (!IsBodyDecoded(*aRequest)) {
      SendProblem(response,
                  Problem{ 501,
                           "transfer-coding",
                           "The transfer coding of the body is not supported.",
                           "Send the body with a length or in chunks.",
                           Executed::No });
      return restinio::request_accepted();
    }
    const std::string& body = aRequest->body();
    if (static_cast<std::int64_t>(body.size()) > mLimits.mMaxBodyBytes) {
      SendProblem(response,
                  Problem{ 413,
                           "body-too-large",
                           "The body is larger than allowed.",
                           "Send at most " +
                             std::to_string(mLimits.mMaxBodyBytes) + " bytes.",
                           Executed::No });
      return restinio::request_accepted();
    }
    mHandler(MakeCallerRequest(*aRequest), std::move(response));
    return restinio::request_accepted();
  }

  std::unique_ptr<HttpServer> MakeServer(
    const asio::ip::tcp::endpoint& aEndpoint,
    std::string& aBoundAddress)
  {
    restinio::server_settings_t<HttpServerTraits> settings;
    settings.address(aEndpoint.address())
      .port(aEndpoint.port())
      .buffer_size(kConnectionBufferBytes)
      .read_next_http_message_timelimit(kReadTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .handle_request_timeout(kHandlingTimeout)
      .max_pipelined_requests(kMaxPipelinedRequests)
      .max_parallel_connections(
        static_cast<std::size_t>(mLimits.mMaxConnections + kExtraConnections))
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                  .max_url_size(kMaxUrlBytes)
                                  .max_field_name_size(kMaxHeaderNameBytes)
                                  .max_field_value_size(kMaxHeaderValueBytes)
                                  .max_field_count(kMaxHeaders)
                                  .max_body_size(static_cast<std::uint64_t>(
                                    mLimits.mMaxBodyBytes + kExtraBodyBytes)))
      .connection_state_listener(mConnections)
      .acceptor_options_setter([](auto& aOptions) {
        using ReusePort =
          asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        aOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        aOptions.set_option(ReusePort(true));
      })
      .socket_options_setter([](auto& aOptions) {
        aOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      .acceptor_post_bind_hook(
        [&aBoundAddress](asio::ip::tcp::acceptor& aAcceptor) {
          const auto bound = aAcceptor.local_endpoint();
          aBoundAddress =
            bound.address().to_string() + ":" + std::to_string(bound.port());
        })
      .request_handler([this](const restinio::request_handle_t& aRequest) {
        return HandleRequest(aRequest);
      });
    return std::make_unique<HttpServer>(restinio::external_io_context(mContext),
                                        std::move(settings));
  }
};

HttpListener::HttpListener(asio::io_context& aContext,
                           ListenerLimits aLimits,
                           CallerHandler aHandler)
  : mPrivate(std::make_unique<Private>(aContext, aLimits, std::move(aHandler)))
{
}

HttpListener::~HttpListener() = default;

ErrorOr<std::string> HttpListener::Open(const std::string& aAddress)
{
  std::error_code error;
  const auto endpoint = ParseAddress(aAddress, error);
  if (error) {
    return MakeError(ErrorCode::Invalid,
                     "listen address is not an IP address and port: " +
                       aAddress);
  }
  std::string bound;
  mPrivate->mServer = mPrivate->MakeServer(endpoint, bound);
  try {
    mPrivate->mServer->open_sync();
  } catch (const std::exception& exception) {
    return MakeError(ErrorCode::Unavailable,
                     "cannot listen on " + aAddress + ": " + exception.what());
  }
  return bound;
}

void HttpListener::CloseAfterAnswers()
{
  mPrivate->mState->mCloseAfterAnswers = true;
}

std::int64_t HttpListener::UnansweredRequests() const
{
  return mPrivate->mState->mUnansweredRequests;
}

void HttpListener::Close()
{
  if (mPrivate->mServer) {
    mPrivate->mServer->close_sync();
  }
}

} // namespace Acaciavale
