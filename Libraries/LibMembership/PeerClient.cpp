#include "PeerClient.h"
#include "DigestMessages.h"
#include "Pacing.h"

#include <LibGenerated/Peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>

namespace Acaciavale {

namespace {

using Stub = PeerMessages::Peer::Stub;

/// Maximum number of open channels; the least recently used one is closed
/// first. The limit leaves room for all peers of a large fleet, since opening a
/// channel costs more than keeping it.
constexpr std::size_t kMaxChannels = 512;
constexpr int kMaxMessageBytes = 4 << 20;
constexpr int kMaxReconnectMilliseconds = 1000;
constexpr int kMinReconnectMilliseconds = 50;

grpc::ChannelArguments MakeChannelArguments()
{
  grpc::ChannelArguments arguments;
  // NOTE: Without this argument, http_proxy in the environment would redirect
  //       the calls.
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // NOTE: This argument gives each VM its own connections where tests run
  //       several VMs in one process.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinReconnectMilliseconds);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   kMaxReconnectMilliseconds);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   kMaxReconnectMilliseconds);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetUserAgentPrefix("acaciavale");
  return arguments;
}

bool IsNumericAddress(const std::string& aAddress)
{
  return aAddress.find_first_not_of("0123456789.:") == std::string::npos;
}

Error ToError(const grpc::Status& aStatus)
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return { ErrorCode::DeadlineExceeded,
               "Peer did not reply within the timeout." };
    case grpc::StatusCode::NOT_FOUND:
      return { ErrorCode::NotFound, aStatus.error_message() };
    case grpc::StatusCode::INVALID_ARGUMENT:
      return { ErrorCode::Invalid, aStatus.error_message() };
    default:
      return { ErrorCode::Unavailable, aStatus.error_message() };
  }
}

} // namespace

struct PeerClient::Private
{
  struct ChannelEntry
  {
    std::shared_ptr<Stub> mStub;
    std::list<std::string>::iterator mUsePosition;
  };

  std::mutex mChannelMutex;
  std::map<std::string, ChannelEntry> mChannels;
  /// Addresses of the channels, the most recently used first.
  std::list<std::string> mUseOrder;

  std::mutex mCallMutex;
  std::condition_variable mCallEnded;
  std::set<grpc::ClientContext*> mActiveCalls;
  bool mClosed = false;

  std::atomic<std::int64_t> mControlBytes{ 0 };
  std::atomic<std::int64_t> mEntryBytes{ 0 };

  std::shared_ptr<Stub> StubFor(const std::string& aAddress)
  {
    const std::lock_guard lock(mChannelMutex);
    const auto entry = mChannels.find(aAddress);
    if (entry != mChannels.end()) {
      mUseOrder.splice(
        mUseOrder.begin(), mUseOrder, entry->second.mUsePosition);
      return entry->second.mStub;
    }
    if (mChannels.size() >= kMaxChannels) {
      mChannels.erase(mUseOrder.back());
      mUseOrder.pop_back();
    }
    const auto channel =
      grpc::CreateCustomChannel("ipv4:" + aAddress,
                                grpc::InsecureChannelCredentials(),
                                MakeChannelArguments());
    std::shared_ptr<Stub> stub = PeerMessages::Peer::NewStub(channel);
    mUseOrder.push_front(aAddress);
    mChannels.emplace(aAddress, ChannelEntry{ stub, mUseOrder.begin() });
    return stub;
  }

  /// Returns false if the client is closed.
  bool RegisterCall(grpc::ClientContext* aContext)
  {
    const std::lock_guard lock(mCallMutex);
    if (!mClosed) {
      mActiveCalls.insert(aContext);
    }
    return !mClosed;
  }

  void UnregisterCall(grpc::ClientContext* aContext)
  {
    const std::lock_guard lock(mCallMutex);
    mActiveCalls.erase(aContext);
    mCallEnded.notify_all();
  }

  /// Starts one call. Its state lives until its callback has returned.
  template<typename Request, typename Reply, typename Start>
  void Call(const std::string& aAddress,
            Request aRequest,
            Duration aTimeout,
            std::atomic<std::int64_t>& aSentBytes,
            Start aStartCall,
            std::function<void(const grpc::Status&, const Reply&)> aCallback)
  {
    struct CallState
    {
      std::shared_ptr<Stub> mStub;
      grpc::ClientContext mContext;
      Request mRequest;
      Reply mReply;
    };
    const Reply emptyReply;
    if (!IsNumericAddress(aAddress)) {
      aCallback(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                             "peer address is not numeric"),
                emptyReply);
      return;
    }
    auto state = std::make_shared<CallState>();
    state->mStub = StubFor(aAddress);
    state->mRequest = std::move(aRequest);
    state->mContext.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::microseconds>(aTimeout));
    if (!RegisterCall(&state->mContext)) {
      aCallback(grpc::Status(grpc::StatusCode::CANCELLED, "closed"),
                emptyReply);
      return;
    }
    aSentBytes += static_cast<std::int64_t>(state->mRequest.ByteSizeLong()) +
                  kCallOverheadBytes;
    aStartCall(*state->mStub,
               &state->mContext,
               &state->mRequest,
               &state->mReply,
               [this, state, callback = std::move(aCallback)](
                 const grpc::Status& aStatus) {
                 callback(aStatus, state->mReply);
                 UnregisterCall(&state->mContext);
               });
  }
};

PeerClient::PeerClient()
  : mPrivate(std::make_unique<Private>())
{
}

PeerClient::~PeerClient()
{
  Close();
}

void PeerClient::Close()
{
  std::unique_lock lock(mPrivate->mCallMutex);
  mPrivate->mClosed = true;
  for (grpc::ClientContext* context : mPrivate->mActiveCalls) {
    context->TryCancel();
  }
  mPrivate->mCallEnded.wait(lock,
                            [this] { return mPrivate->mActiveCalls.empty(); });
}

void PeerClient::Exchange(const std::string& aAddress,
                          const Digest& aDigest,
                          Duration aTimeout,
                          std::function<void(ErrorOr<Digest>)> aCallback)
{
  using Message = PeerMessages::DigestMessage;
  mPrivate->Call<Message, Message>(
    aAddress,
    ToMessage(aDigest),
    aTimeout,
    mPrivate->mControlBytes,
    [](
      Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aOnDone) {
      aStub.async()->Exchange(aContext, aRequest, aReply, std::move(aOnDone));
    },
    [callback = std::move(aCallback)](const grpc::Status& aStatus,
                                      const Message& aReply) {
      callback(aStatus.ok()
                 ? FromMessage(aReply)
                 : ErrorOr<Digest>(tl::make_unexpected(ToError(aStatus))));
    });
}

void PeerClient::FetchSettings(
  const std::string& aAddress,
  std::int64_t aGeneration,
  Duration aTimeout,
  std::function<void(ErrorOr<SettingsBody>)> aCallback)
{
  PeerMessages::SettingsRequest request;
  request.set_generation(aGeneration);
  mPrivate->Call<PeerMessages::SettingsRequest, PeerMessages::SettingsReply>(
    aAddress,
    std::move(request),
    aTimeout,
    mPrivate->mControlBytes,
    [](
      Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aOnDone) {
      aStub.async()->FetchSettings(
        aContext, aRequest, aReply, std::move(aOnDone));
    },
    [callback = std::move(aCallback)](
      const grpc::Status& aStatus, const PeerMessages::SettingsReply& aReply) {
      if (!aStatus.ok()) {
        callback(tl::make_unexpected(ToError(aStatus)));
        return;
      }
      callback(SettingsBody{ aReply.generation(), aReply.body() });
    });
}

void PeerClient::HoldEntries(const std::string& aAddress,
                             const std::vector<BillEntry>& aEntries,
                             Duration aTimeout,
                             std::function<void(ErrorOr<void>)> aCallback)
{
  mPrivate->Call<PeerMessages::EntriesMessage, PeerMessages::Acknowledgement>(
    aAddress,
    ToMessage(aEntries),
    aTimeout,
    mPrivate->mEntryBytes,
    [](
      Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aOnDone) {
      aStub.async()->HoldEntries(
        aContext, aRequest, aReply, std::move(aOnDone));
    },
    [callback = std::move(aCallback)](const grpc::Status& aStatus,
                                      const PeerMessages::Acknowledgement&) {
      callback(aStatus.ok()
                 ? ErrorOr<void>()
                 : ErrorOr<void>(tl::make_unexpected(ToError(aStatus))));
    });
}

void PeerClient::ForgetEntries(const std::string& aAddress,
                               const Incarnation& aIncarnation,
                               std::uint64_t aUpTo,
                               Duration aTimeout)
{
  PeerMessages::ForgetMessage request;
  request.set_vm(aIncarnation.mVm);
  request.set_nonce(aIncarnation.mNonce);
  request.set_up_to(aUpTo);
  mPrivate->Call<PeerMessages::ForgetMessage, PeerMessages::Acknowledgement>(
    aAddress,
    std::move(request),
    aTimeout,
    mPrivate->mEntryBytes,
    [](
      Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aOnDone) {
      aStub.async()->ForgetEntries(
        aContext, aRequest, aReply, std::move(aOnDone));
    },
    [](const grpc::Status&, const PeerMessages::Acknowledgement&) {});
}

std::int64_t PeerClient::ControlBytes() const
{
  return mPrivate->mControlBytes;
}

std::int64_t PeerClient::EntryBytes() const
{
  return mPrivate->mEntryBytes;
}

} // namespace Acaciavale
