#include <Acaciavale/LibEndpoint/EndpointClient.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <strings.h>
#include <unordered_map>

namespace Acaciavale {

namespace {

constexpr long kConnectTimeoutMilliseconds = 500;
constexpr long kReceiveBufferBytes = 4096;
constexpr long kKeptConnections = 256;
constexpr std::size_t kIdleHandles = 256;
constexpr int kFirstSuccessStatus = 200;

/// One transfer and everything that libcurl points into.
struct Transfer
{
  TransferId mId = 0;
  CURL* mHandle = nullptr;
  curl_slist* mHeaderList = nullptr;
  EndpointRequest mRequest;
  EndpointObserver mObserver;
  EndpointAnswerHeaders mHeaders;
  bool mHeadersTold = false;
  bool mCancelled = false;
  bool mPaused = false;
  int mDepth = 0; ///< Observer calls under way, during which it must live.
  int* mBodyCalls = nullptr; ///< Body callbacks of the whole client.
};

/// One socket of libcurl's, as Asio watches it.
struct WatchedSocket
{
  explicit WatchedSocket(asio::io_context& aContext, curl_socket_t aSocket)
    : mDescriptor(aContext, aSocket)
    , mSocket(aSocket)
  {
  }

  asio::posix::stream_descriptor mDescriptor;
  curl_socket_t mSocket;
  int mWanted = 0;
  bool mReading = false;
  bool mWriting = false;
  bool mRemoved = false;
};

std::string_view Trimmed(std::string_view aText)
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

bool SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

void TakeHeaderLine(EndpointAnswerHeaders& aHeaders, std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = Trimmed(aLine.substr(colon + 1));
  if (SameName(name, "Content-Type")) {
    aHeaders.mContentType = value;
  } else if (SameName(name, "X-Request-Id")) {
    aHeaders.mRequestId = value;
  } else if (SameName(name, "X-Resumed-From")) {
    aHeaders.mResumedFrom = value;
  }
}

void TellHeaders(Transfer& aTransfer)
{
  if (aTransfer.mHeadersTold) {
    return;
  }
  aTransfer.mHeadersTold = true;
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
  TakeHeaderLine(static_cast<Transfer*>(aTransfer)->mHeaders,
                 std::string_view(aBytes, aSize * aCount));
  return aSize * aCount;
}

std::size_t OnBodyBytes(char* aBytes,
                        std::size_t aSize,
                        std::size_t aCount,
                        void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  if (transfer.mCancelled) {
    return 0;
  }
  if (transfer.mPaused) {
    return CURL_WRITEFUNC_PAUSE;
  }
  ++transfer.mDepth;
  ++*transfer.mBodyCalls;
  TellHeaders(transfer);
  if (!transfer.mCancelled && transfer.mObserver.mOnBody) {
    transfer.mObserver.mOnBody(std::string_view(aBytes, aSize * aCount));
  }
  --*transfer.mBodyCalls;
  --transfer.mDepth;
  // NOTE: A short count makes libcurl end the transfer, which is how a
  //       cancellation from within the callback takes effect.
  return transfer.mCancelled ? 0 : aSize * aCount;
}

TransferResult ResultOf(const Transfer& aTransfer, CURLcode aCode)
{
  long status = 0;
  long sent = 0;
  curl_easy_getinfo(aTransfer.mHandle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(aTransfer.mHandle, CURLINFO_REQUEST_SIZE, &sent);
  TransferResult result;
  result.mStatus = static_cast<int>(status);
  result.mDetail = curl_easy_strerror(aCode);
  if (aCode == CURLE_OK) {
    result.mOutcome = TransferOutcome::Complete;
  } else if (sent == 0) {
    result.mOutcome = TransferOutcome::NotSent;
  } else if (aCode == CURLE_OPERATION_TIMEDOUT) {
    result.mOutcome = TransferOutcome::TimedOut;
  } else {
    result.mOutcome = TransferOutcome::Broken;
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
    curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kKeptConnections);
  }

  static int OnSocket(CURL* /*aHandle*/,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void* /*aSocketData*/)
  {
    static_cast<Private*>(aSelf)->WatchSocket(aSocket, aWhat);
    return 0;
  }

  static int OnTimer(CURLM* /*aMulti*/, long aMilliseconds, void* aSelf)
  {
    static_cast<Private*>(aSelf)->ArmTimer(aMilliseconds);
    return 0;
  }

  void WatchSocket(curl_socket_t aSocket, int aWhat);
  void WaitForSocket(const std::shared_ptr<WatchedSocket>& aSocket);
  void SocketReady(const std::shared_ptr<WatchedSocket>& aSocket, int aEvent);
  void ArmTimer(long aMilliseconds);
  void FinishTransfers();
  void Finish(Transfer& aTransfer, CURLcode aCode);
  void Release(TransferId aTransfer);
  CURL* TakeHandle();
  void Configure(Transfer& aTransfer);

  template<typename Action>
  void OutsideCallbacks(Action aAction)
  {
    if (mBodyCalls == 0) {
      aAction();
    } else {
      asio::post(mContext, std::move(aAction));
    }
  }

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  CURLM* mMulti;
  TransferId mLastId = 0;
  /// NOTE: libcurl may not be entered from its own callbacks; while this is
  ///       above zero, calls into it are posted for later.
  int mBodyCalls = 0;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> mTransfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> mSockets;
  std::vector<CURL*> mIdleHandles;
};

void EndpointClient::Private::WatchSocket(curl_socket_t aSocket, int aWhat)
{
  const auto found = mSockets.find(aSocket);
  if (aWhat == CURL_POLL_REMOVE) {
    if (found != mSockets.end()) {
      found->second->mRemoved = true;
      found->second->mDescriptor.release();
      mSockets.erase(found);
    }
    return;
  }
  auto socket = found != mSockets.end()
                  ? found->second
                  : std::make_shared<WatchedSocket>(mContext, aSocket);
  mSockets[aSocket] = socket;
  socket->mWanted = aWhat;
  WaitForSocket(socket);
}

void EndpointClient::Private::WaitForSocket(
  const std::shared_ptr<WatchedSocket>& aSocket)
{
  using Descriptor = asio::posix::stream_descriptor;
  if ((aSocket->mWanted & CURL_POLL_IN) != 0 && !aSocket->mReading) {
    aSocket->mReading = true;
    aSocket->mDescriptor.async_wait(
      Descriptor::wait_read, [this, aSocket](const std::error_code& aError) {
        aSocket->mReading = false;
        if (!aError && !aSocket->mRemoved) {
          SocketReady(aSocket, CURL_CSELECT_IN);
        }
      });
  }
  if ((aSocket->mWanted & CURL_POLL_OUT) != 0 && !aSocket->mWriting) {
    aSocket->mWriting = true;
    aSocket->mDescriptor.async_wait(
      Descriptor::wait_write, [this, aSocket](const std::error_code& aError) {
        aSocket->mWriting = false;
        if (!aError && !aSocket->mRemoved) {
          SocketReady(aSocket, CURL_CSELECT_OUT);
        }
      });
  }
}

void EndpointClient::Private::SocketReady(
  const std::shared_ptr<WatchedSocket>& aSocket,
  int aEvent)
{
  // NOTE: The interest may have changed while the event was queued; telling
  //       libcurl of an event that it no longer wants makes it read a paused
  //       transfer.
  const int wanted = aEvent == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
  if ((aSocket->mWanted & wanted) == 0) {
    return;
  }
  int running = 0;
  curl_multi_socket_action(mMulti, aSocket->mSocket, aEvent, &running);
  FinishTransfers();
  if (!aSocket->mRemoved) {
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
    int running = 0;
    curl_multi_socket_action(mMulti, CURL_SOCKET_TIMEOUT, 0, &running);
    FinishTransfers();
  });
}

void EndpointClient::Private::FinishTransfers()
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    void* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    Finish(*static_cast<Transfer*>(transfer), message->data.result);
  }
}

void EndpointClient::Private::Finish(Transfer& aTransfer, CURLcode aCode)
{
  const TransferResult result = ResultOf(aTransfer, aCode);
  if (!aTransfer.mCancelled) {
    ++aTransfer.mDepth;
    if (result.mStatus >= kFirstSuccessStatus) {
      TellHeaders(aTransfer);
    }
    if (!aTransfer.mCancelled && aTransfer.mObserver.mOnDone) {
      // Moved out, because the observer's owner may go while it runs.
      const auto onDone = std::move(aTransfer.mObserver.mOnDone);
      onDone(result);
    }
    --aTransfer.mDepth;
  }
  Release(aTransfer.mId);
}

void EndpointClient::Private::Release(TransferId aTransfer)
{
  const auto found = mTransfers.find(aTransfer);
  if (found == mTransfers.end()) {
    return;
  }
  const std::unique_ptr<Transfer> transfer = std::move(found->second);
  mTransfers.erase(found);
  curl_multi_remove_handle(mMulti, transfer->mHandle);
  curl_slist_free_all(transfer->mHeaderList);
  if (mIdleHandles.size() < kIdleHandles) {
    curl_easy_reset(transfer->mHandle);
    mIdleHandles.push_back(transfer->mHandle);
  } else {
    curl_easy_cleanup(transfer->mHandle);
  }
}

CURL* EndpointClient::Private::TakeHandle()
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
      std::chrono::duration_cast<std::chrono::milliseconds>(request.mDeadline)
        .count()));
  if (!request.mRepeatable) {
    // NOTE: On a kept connection that turns out dead, libcurl sends the
    //       request again by itself. A call that may not be repeated
    //       therefore never goes out on a kept connection.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
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
    mPrivate->Release(transfer);
  }
  for (CURL* handle : mPrivate->mIdleHandles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_setopt(mPrivate->mMulti, CURLMOPT_SOCKETFUNCTION, nullptr);
  for (const auto& [number, socket] : mPrivate->mSockets) {
    socket->mRemoved = true;
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
  transfer->mHandle = mPrivate->TakeHandle();
  transfer->mBodyCalls = &mPrivate->mBodyCalls;
  mPrivate->Configure(*transfer);
  const TransferId id = transfer->mId;
  mPrivate->mTransfers.emplace(id, std::move(transfer));
  mPrivate->OutsideCallbacks([self = mPrivate.get(), id] {
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
  transfer.mCancelled = true;
  if (transfer.mDepth > 0) {
    // NOTE: libcurl may not be entered from its own callback. A body callback
    //       ends the transfer by its short count, and Finish releases it.
    return;
  }
  // Removal of a transfer that is under way closes its connection.
  mPrivate->OutsideCallbacks(
    [self = mPrivate.get(), aTransfer] { self->Release(aTransfer); });
}

void EndpointClient::Pause(TransferId aTransfer)
{
  const auto found = mPrivate->mTransfers.find(aTransfer);
  if (found != mPrivate->mTransfers.end()) {
    found->second->mPaused = true;
  }
}

void EndpointClient::Resume(TransferId aTransfer)
{
  const auto found = mPrivate->mTransfers.find(aTransfer);
  if (found == mPrivate->mTransfers.end() || !found->second->mPaused) {
    return;
  }
  found->second->mPaused = false;
  if (found->second->mDepth > 0) {
    return;
  }
  mPrivate->OutsideCallbacks([self = mPrivate.get(), aTransfer] {
    const auto resumed = self->mTransfers.find(aTransfer);
    if (resumed != self->mTransfers.end() && !resumed->second->mPaused) {
      curl_easy_pause(resumed->second->mHandle, CURLPAUSE_CONT);
    }
  });
}

} // namespace Acaciavale
