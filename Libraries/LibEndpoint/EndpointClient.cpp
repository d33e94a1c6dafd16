#include <Acaciavale/LibCore/ResponseHeadProgress.h>
#include <Acaciavale/LibCore/Text.h>
#include <Acaciavale/LibEndpoint/EndpointClient.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <unordered_map>

namespace Acaciavale {

namespace {

constexpr long kConnectTimeoutMilliseconds = 500;
constexpr long kReceiveBufferBytes = 4096;
constexpr std::size_t kMaxIdleHandles = 256;
constexpr int kFirstSuccessStatus = 200;

/// A transfer and all data that libcurl refers to by pointer.
struct Transfer
{
  TransferId mId = 0;
  CURL* mHandle = nullptr;
  curl_slist* mHeaderList = nullptr;
  EndpointRequest mRequest;
  EndpointObserver mObserver;
  EndpointResponseHeaders mHeaders;
  ResponseHeadProgress mHeadProgress;
  bool mHeadersNotified = false;
  bool mIsCancelled = false;
  bool mIsPaused = false;
  /// Number of observer calls in progress. The transfer must not be released
  /// while this is above zero.
  int mActiveObserverCalls = 0;
  /// Counter of the client for body callbacks in progress.
  int* mActiveBodyCallbacks = nullptr;
};

/// A socket of libcurl that Asio watches for events.
struct WatchedSocket
{
  explicit WatchedSocket(asio::io_context& aContext, curl_socket_t aSocket)
    : mDescriptor(aContext, aSocket)
    , mSocket(aSocket)
  {
  }

  asio::posix::stream_descriptor mDescriptor;
  curl_socket_t mSocket;
  int mPollEvents = 0;
  bool mIsReadWaitPending = false;
  bool mIsWriteWaitPending = false;
  bool mIsRemoved = false;
};

std::string_view TrimWhitespace(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == '\r' || aText.back() == '\n' ||
                            aText.back() == ' ')) {
    aText.remove_suffix(1);
  }
  return aText;
}

void ParseHeaderLine(EndpointResponseHeaders& aHeaders, std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = TrimWhitespace(aLine.substr(colon + 1));
  if (EqualsIgnoringCase(name, "Content-Type")) {
    aHeaders.mContentType = value;
  } else if (EqualsIgnoringCase(name, "X-Request-Id")) {
    aHeaders.mRequestId = value;
  } else if (EqualsIgnoringCase(name, "X-Resumed-From")) {
    aHeaders.mResumedFrom = value;
  }
}

void NotifyHeaders(Transfer& aTransfer)
{
  if (aTransfer.mHeadersNotified) {
    return;
  }
  aTransfer.mHeadersNotified = true;
  long status = 0;
  curl_easy_getinfo(aTransfer.mHandle, CURLINFO_RESPONSE_CODE, &status);
  aTransfer.mHeaders.mStatus = static_cast<int>(status);
  if (aTransfer.mObserver.mOnHeaders) {
    aTransfer.mObserver.mOnHeaders(aTransfer.mHeaders);
  }
}

std::size_t OnHeaderLine(char* aBytes,
                         std::size_t aSize,
                         std::size_t aCount,
                         void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::string_view line(aBytes, aSize * aCount);
  if (IsStatusLine(line)) {
    // NOTE: Interim responses precede the answer; their headers are not its
    // own.
    transfer.mHeaders = {};
  }
  transfer.mHeadProgress = WithHeadLine(transfer.mHeadProgress, line);
  ParseHeaderLine(transfer.mHeaders, line);
  // NOTE: Returning less than the received size makes libcurl abort the
  //       transfer.
  return HeadProblem(transfer.mHeadProgress).empty() ? aSize * aCount : 0;
}

std::size_t OnBodyBytes(char* aBytes,
                        std::size_t aSize,
                        std::size_t aCount,
                        void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  if (transfer.mIsCancelled) {
    return 0;
  }
  if (transfer.mIsPaused) {
    return CURL_WRITEFUNC_PAUSE;
  }
  ++transfer.mActiveObserverCalls;
  ++*transfer.mActiveBodyCallbacks;
  NotifyHeaders(transfer);
  if (!transfer.mIsCancelled && transfer.mObserver.mOnBody) {
    transfer.mObserver.mOnBody(std::string_view(aBytes, aSize * aCount));
  }
  --*transfer.mActiveBodyCallbacks;
  --transfer.mActiveObserverCalls;
  // NOTE: Returning less than the received size makes libcurl abort the
  //       transfer. A cancellation from within the callback takes effect this
  //       way.
  return transfer.mIsCancelled ? 0 : aSize * aCount;
}

TransferResult ResultOf(const Transfer& aTransfer, CURLcode aCurlCode)
{
  long status = 0;
  long requestBytesSent = 0;
  curl_easy_getinfo(aTransfer.mHandle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(
    aTransfer.mHandle, CURLINFO_REQUEST_SIZE, &requestBytesSent);
  TransferResult result;
  const bool hasHead = aTransfer.mHeadProgress.mIsComplete;
  result.mStatus = hasHead ? static_cast<int>(status) : 0;
  const std::string_view problem = HeadProblem(aTransfer.mHeadProgress);
  if (!problem.empty()) {
    result.mDetail = problem;
  } else if (aCurlCode == CURLE_OK && !hasHead) {
    result.mDetail = "The connection was closed within the head.";
  } else {
    result.mDetail = curl_easy_strerror(aCurlCode);
  }
  if (aCurlCode == CURLE_OK && hasHead) {
    result.mOutcome = TransferOutcome::Complete;
  } else if (requestBytesSent == 0) {
    result.mOutcome = TransferOutcome::NotSent;
  } else if (aCurlCode == CURLE_OPERATION_TIMEDOUT) {
    result.mOutcome = TransferOutcome::TimedOut;
  } else {
    result.mOutcome = TransferOutcome::ConnectionLost;
  }
  return result;
}

} // namespace

struct EndpointClient::Private
{
  explicit Private(asio::io_context& aContext)
    : mContext(aContext)
    , mTimer(aContext)
    , mMulti(curl_multi_init())
  {
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &Private::OnSocket);
    curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &Private::OnTimer);
    curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  }

  static int OnSocket(CURL* /*aHandle*/,
                      curl_socket_t aSocket,
                      int aPollEvents,
                      void* aSelf,
                      void* /*aSocketData*/)
  {
    static_cast<Private*>(aSelf)->WatchSocket(aSocket, aPollEvents);
    return 0;
  }

  static int OnTimer(CURLM* /*aMulti*/, long aMilliseconds, void* aSelf)
  {
    static_cast<Private*>(aSelf)->ArmTimer(aMilliseconds);
    return 0;
  }

  void WatchSocket(curl_socket_t aSocket, int aPollEvents);
  void WaitForSocket(const std::shared_ptr<WatchedSocket>& aSocket);
  void OnSocketReady(const std::shared_ptr<WatchedSocket>& aSocket,
                     int aSelectEvent);
  void ArmTimer(long aMilliseconds);
  void FinishTransfers();
  void FinishTransfer(Transfer& aTransfer, CURLcode aCurlCode);
  void ReleaseTransfer(TransferId aTransfer);
  CURL* AcquireHandle();
  void Configure(Transfer& aTransfer);

  template<typename Action>
  void RunOutsideCallbacks(Action aAction)
  {
    if (mActiveBodyCallbacks == 0) {
      aAction();
    } else {
      asio::post(mContext, std::move(aAction));
    }
  }

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  CURLM* mMulti;
  TransferId mLastId = 0;
  /// Number of body callbacks in progress. libcurl must not be called from its
  /// own callbacks, so calls are posted to the io_context while this is above
  /// zero.
  int mActiveBodyCallbacks = 0;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> mTransfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> mSockets;
  std::vector<CURL*> mIdleHandles;
};

void EndpointClient::Private::WatchSocket(curl_socket_t aSocket,
                                          int aPollEvents)
{
  const auto found = mSockets.find(aSocket);
  if (aPollEvents == CURL_POLL_REMOVE) {
    if (found != mSockets.end()) {
      found->second->mIsRemoved = true;
      found->second->mDescriptor.release();
      mSockets.erase(found);
    }
    return;
  }
  auto socket = found != mSockets.end()
                  ? found->second
                  : std::make_shared<WatchedSocket>(mContext, aSocket);
  mSockets[aSocket] = socket;
  socket->mPollEvents = aPollEvents;
  WaitForSocket(socket);
}

void EndpointClient::Private::WaitForSocket(
  const std::shared_ptr<WatchedSocket>& aSocket)
{
  using Descriptor = asio::posix::stream_descriptor;
  if ((aSocket->mPollEvents & CURL_POLL_IN) != 0 &&
      !aSocket->mIsReadWaitPending) {
    aSocket->mIsReadWaitPending = true;
    aSocket->mDescriptor.async_wait(
      Descriptor::wait_read, [this, aSocket](const std::error_code& aError) {
        aSocket->mIsReadWaitPending = false;
        if (!aError && !aSocket->mIsRemoved) {
          OnSocketReady(aSocket, CURL_CSELECT_IN);
        }
      });
  }
  if ((aSocket->mPollEvents & CURL_POLL_OUT) != 0 &&
      !aSocket->mIsWriteWaitPending) {
    aSocket->mIsWriteWaitPending = true;
    aSocket->mDescriptor.async_wait(
      Descriptor::wait_write, [this, aSocket](const std::error_code& aError) {
        aSocket->mIsWriteWaitPending = false;
        if (!aError && !aSocket->mIsRemoved) {
          OnSocketReady(aSocket, CURL_CSELECT_OUT);
        }
      });
  }
}

void EndpointClient::Private::OnSocketReady(
  const std::shared_ptr<WatchedSocket>& aSocket,
  int aSelectEvent)
{
  // NOTE: The requested events may have changed while this event was queued.
  //       Reporting an event that libcurl no longer requests makes it read a
  //       paused transfer.
  const int pollEvent =
    aSelectEvent == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
  if ((aSocket->mPollEvents & pollEvent) == 0) {
    return;
  }
  int runningTransfers = 0;
  curl_multi_socket_action(
    mMulti, aSocket->mSocket, aSelectEvent, &runningTransfers);
  FinishTransfers();
  if (!aSocket->mIsRemoved) {
    WaitForSocket(aSocket);
  }
}

void EndpointClient::Private::ArmTimer(long aMilliseconds)
{
  mTimer.cancel();
  if (aMilliseconds < 0) {
    return;
  }
  mTimer.expires_after(std::chrono::milliseconds(aMilliseconds));
  mTimer.async_wait([this](const std::error_code& aError) {
    if (aError) {
      return;
    }
    int runningTransfers = 0;
    curl_multi_socket_action(mMulti, CURL_SOCKET_TIMEOUT, 0, &runningTransfers);
    FinishTransfers();
  });
}

void EndpointClient::Private::FinishTransfers()
{
  int remainingMessages = 0;
  while (CURLMsg* message = curl_multi_info_read(mMulti, &remainingMessages)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    void* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    FinishTransfer(*static_cast<Transfer*>(transfer), message->data.result);
  }
}

void EndpointClient::Private::FinishTransfer(Transfer& aTransfer,
                                             CURLcode aCurlCode)
{
  const TransferResult result = ResultOf(aTransfer, aCurlCode);
  if (!aTransfer.mIsCancelled) {
    ++aTransfer.mActiveObserverCalls;
    if (result.mStatus >= kFirstSuccessStatus) {
      NotifyHeaders(aTransfer);
    }
    if (!aTransfer.mIsCancelled && aTransfer.mObserver.mOnDone) {
      // mOnDone is moved out because the observer's owner may be destroyed
      // during the call.
      const auto onDone = std::move(aTransfer.mObserver.mOnDone);
      onDone(result);
    }
    --aTransfer.mActiveObserverCalls;
  }
  ReleaseTransfer(aTransfer.mId);
}

void EndpointClient::Private::ReleaseTransfer(TransferId aTransfer)
{
  const auto found = mTransfers.find(aTransfer);
  if (found == mTransfers.end()) {
    return;
  }
  const std::unique_ptr<Transfer> transfer = std::move(found->second);
  mTransfers.erase(found);
  curl_multi_remove_handle(mMulti, transfer->mHandle);
  curl_slist_free_all(transfer->mHeaderList);
  if (mIdleHandles.size() < kMaxIdleHandles) {
    curl_easy_reset(transfer->mHandle);
    mIdleHandles.push_back(transfer->mHandle);
  } else {
    curl_easy_cleanup(transfer->mHandle);
  }
}

CURL* EndpointClient::Private::AcquireHandle()
{
  if (mIdleHandles.empty()) {
    return curl_easy_init();
  }
  CURL* handle = mIdleHandles.back();
  mIdleHandles.pop_back();
  return handle;
}

void EndpointClient::Private::Configure(Transfer& aTransfer)
{
  CURL* handle = aTransfer.mHandle;
  const EndpointRequest& request = aTransfer.mRequest;
  const std::string url = "http://" + request.mAddress + request.mPath;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &aTransfer);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(
    handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMilliseconds);
  curl_easy_setopt(
    handle,
    CURLOPT_TIMEOUT_MS,
    std::max<long>(
      1,
      std::chrono::duration_cast<std::chrono::milliseconds>(request.mTimeout)
        .count()));
  // NOTE: Endpoints need not echo the request id, so only a connection of its
  //       own ties an answer to its request. On a reused one, a late copy of an
  //       earlier answer would be taken for it, and libcurl would resend a
  //       request by itself if the connection turned out to be closed.
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  if (request.mMethod != "GET") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.mMethod.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.mBody.data());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.mBody.size()));
  }
  for (const auto& [name, value] : request.mHeaders) {
    std::string line = name;
    line.append(": ").append(value);
    aTransfer.mHeaderList =
      curl_slist_append(aTransfer.mHeaderList, line.c_str());
  }
  aTransfer.mHeaderList = curl_slist_append(aTransfer.mHeaderList, "Expect:");
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, aTransfer.mHeaderList);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBodyBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &aTransfer);
}

EndpointClient::EndpointClient(asio::io_context& aContext)
  : mPrivate(std::make_unique<Private>(aContext))
{
}

EndpointClient::~EndpointClient()
{
  mPrivate->mTimer.cancel();
  while (!mPrivate->mTransfers.empty()) {
    const TransferId transfer = mPrivate->mTransfers.begin()->first;
    mPrivate->ReleaseTransfer(transfer);
  }
  for (CURL* handle : mPrivate->mIdleHandles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_setopt(mPrivate->mMulti, CURLMOPT_SOCKETFUNCTION, nullptr);
  for (const auto& [number, socket] : mPrivate->mSockets) {
    socket->mIsRemoved = true;
    socket->mDescriptor.release();
  }
  curl_multi_cleanup(mPrivate->mMulti);
}

TransferId EndpointClient::Start(EndpointRequest aRequest,
                                 EndpointObserver aObserver)
{
  auto transfer = std::make_unique<Transfer>();
  transfer->mId = ++mPrivate->mLastId;
  transfer->mRequest = std::move(aRequest);
  transfer->mObserver = std::move(aObserver);
  transfer->mHandle = mPrivate->AcquireHandle();
  transfer->mActiveBodyCallbacks = &mPrivate->mActiveBodyCallbacks;
  mPrivate->Configure(*transfer);
  const TransferId id = transfer->mId;
  mPrivate->mTransfers.emplace(id, std::move(transfer));
  mPrivate->RunOutsideCallbacks([self = mPrivate.get(), id] {
    const auto found = self->mTransfers.find(id);
    if (found != self->mTransfers.end()) {
      curl_multi_add_handle(self->mMulti, found->second->mHandle);
    }
  });
  return id;
}

void EndpointClient::Cancel(TransferId aTransfer)
{
  const auto found = mPrivate->mTransfers.find(aTransfer);
  if (found == mPrivate->mTransfers.end()) {
    return;
  }
  Transfer& transfer = *found->second;
  transfer.mIsCancelled = true;
  if (transfer.mActiveObserverCalls > 0) {
    // NOTE: libcurl must not be called from its own callback. A body callback
    //       aborts the transfer by its return value, and FinishTransfer
    //       releases it.
    return;
  }
  // Removing an active transfer closes its connection.
  mPrivate->RunOutsideCallbacks(
    [self = mPrivate.get(), aTransfer] { self->ReleaseTransfer(aTransfer); });
}

void EndpointClient::Pause(TransferId aTransfer)
{
  const auto found = mPrivate->mTransfers.find(aTransfer);
  if (found != mPrivate->mTransfers.end()) {
    found->second->mIsPaused = true;
  }
}

void EndpointClient::Resume(TransferId aTransfer)
{
  const auto found = mPrivate->mTransfers.find(aTransfer);
  if (found == mPrivate->mTransfers.end() || !found->second->mIsPaused) {
    return;
  }
  found->second->mIsPaused = false;
  if (found->second->mActiveObserverCalls > 0) {
    return;
  }
  mPrivate->RunOutsideCallbacks([self = mPrivate.get(), aTransfer] {
    const auto resumed = self->mTransfers.find(aTransfer);
    if (resumed != self->mTransfers.end() && !resumed->second->mIsPaused) {
      curl_easy_pause(resumed->second->mHandle, CURLPAUSE_CONT);
    }
  });
}

} // namespace Acaciavale
