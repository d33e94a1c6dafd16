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

/// Channels kept open; the one that was used longest ago is closed first. Room
/// for all peers of a large fleet: opening a channel costs more than keeping
/// it.
constexpr std::size_t kMostChannels = 512;
constexpr int kMaxMessageBytes = 4 << 20;
constexpr int kMaxReconnectMilliseconds = 1000;
constexpr int kMinReconnectMilliseconds = 50;

grpc::ChannelArguments Arguments()
{
  grpc::ChannelArguments arguments;
  // NOTE: An http_proxy in the environment would take the calls elsewhere.
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // NOTE: Several VMs in one process, as in tests, keep their own connections.
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

bool IsNumeric(const std::string& aAddress)
{
  return aAddress.find_first_not_of("0123456789.:") == std::string::npos;
}

Error ErrorOf(const grpc::Status& aStatus)
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return { ErrorCode::DeadlineExceeded, "The peer did not answer." };
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
  struct KnownChannel
  {
    std::shared_ptr<Stub> mStub;
    std::list<std::string>::iterator mUse;
  };

  std::mutex mMutex;
  std::map<std::string, KnownChannel> mChannels;
  std::list<std::string> mUses; ///< Addresses, the last used first.

  std::mutex mCallMutex;
  std::condition_variable mCallsDone;
  std::set<grpc::ClientContext*> mCalls;
  bool mClosed = false;

  std::atomic<std::int64_t> mControlBytes{ 0 };
  std::atomic<std::int64_t> mEntryBytes{ 0 };

  std::shared_ptr<Stub> StubOf(const std::string& aAddress)
  {
    const std::lock_guard lock(mMutex);
    const auto known = mChannels.find(aAddress);
    if (known != mChannels.end()) {
      mUses.splice(mUses.begin(), mUses, known->second.mUse);
      return known->second.mStub;
    }
    if (mChannels.size() >= kMostChannels) {
      mChannels.erase(mUses.back());
      mUses.pop_back();
    }
    const auto channel = grpc::CreateCustomChannel(
      "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), Arguments());
    std::shared_ptr<Stub> stub = PeerMessages::Peer::NewStub(channel);
    mUses.push_front(aAddress);
    mChannels.emplace(aAddress, KnownChannel{ stub, mUses.begin() });
    return stub;
  }

  bool Open(grpc::ClientContext* aContext)
  {
    const std::lock_guard lock(mCallMutex);
    if (!mClosed) {
      mCalls.insert(aContext);
    }
    return !mClosed;
  }

  void Shut(grpc::ClientContext* aContext)
  {
    const std::lock_guard lock(mCallMutex);
    mCalls.erase(aContext);
    mCallsDone.notify_all();
  }

  /// Runs one call. The state of the call lives until its callback is over.
  template<typename Request, typename Reply, typename Start>
  void Call(const std::string& aAddress,
            Request aRequest,
            Duration aDeadline,
            std::atomic<std::int64_t>& aBytes,
            Start aStart,
            std::function<void(const grpc::Status&, const Reply&)> aDone)
  {
    struct State
    {
      std::shared_ptr<Stub> mStub;
      grpc::ClientContext mContext;
      Request mRequest;
      Reply mReply;
    };
    const Reply nothing;
    if (!IsNumeric(aAddress)) {
      aDone(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "not an address"),
            nothing);
      return;
    }
    auto state = std::make_shared<State>();
    state->mStub = StubOf(aAddress);
    state->mRequest = std::move(aRequest);
    state->mContext.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::microseconds>(aDeadline));
    if (!Open(&state->mContext)) {
      aDone(grpc::Status(grpc::StatusCode::CANCELLED, "closed"), nothing);
      return;
    }
    aBytes += static_cast<std::int64_t>(state->mRequest.ByteSizeLong()) +
              kCallOverheadBytes;
    aStart(*state->mStub,
           &state->mContext,
           &state->mRequest,
           &state->mReply,
           [this, state, done = std::move(aDone)](const grpc::Status& aStatus) {
             done(aStatus, state->mReply);
             Shut(&state->mContext);
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
  for (grpc::ClientContext* context : mPrivate->mCalls) {
    context->TryCancel();
  }
  mPrivate->mCallsDone.wait(lock, [this] { return mPrivate->mCalls.empty(); });
}

void PeerClient::Exchange(const std::string& aAddress,
                          const Digest& aDigest,
                          Duration aDeadline,
                          std::function<void(ErrorOr<Digest>)> aDone)
{
  using Message = PeerMessages::DigestMessage;
  mPrivate->Call<Message, Message>(
    aAddress,
    ToMessage(aDigest),
    aDeadline,
    mPrivate->mControlBytes,
    [](Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aEnd) {
      aStub.async()->Exchange(aContext, aRequest, aReply, std::move(aEnd));
    },
    [done = std::move(aDone)](const grpc::Status& aStatus,
                              const Message& aReply) {
      done(aStatus.ok()
             ? FromMessage(aReply)
             : ErrorOr<Digest>(tl::make_unexpected(ErrorOf(aStatus))));
    });
}

void PeerClient::FetchSettings(const std::string& aAddress,
                               std::int64_t aGeneration,
                               Duration aDeadline,
                               std::function<void(ErrorOr<SettingsBody>)> aDone)
{
  PeerMessages::SettingsRequest request;
  request.set_generation(aGeneration);
  mPrivate->Call<PeerMessages::SettingsRequest, PeerMessages::SettingsReply>(
    aAddress,
    std::move(request),
    aDeadline,
    mPrivate->mControlBytes,
    [](Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aEnd) {
      aStub.async()->FetchSettings(aContext, aRequest, aReply, std::move(aEnd));
    },
    [done = std::move(aDone)](const grpc::Status& aStatus,
                              const PeerMessages::SettingsReply& aReply) {
      if (!aStatus.ok()) {
        done(tl::make_unexpected(ErrorOf(aStatus)));
        return;
      }
      done(SettingsBody{ aReply.generation(), aReply.body() });
    });
}

void PeerClient::HoldEntries(const std::string& aAddress,
                             const std::vector<BillEntry>& aEntries,
                             Duration aDeadline,
                             std::function<void(ErrorOr<void>)> aDone)
{
  mPrivate->Call<PeerMessages::EntriesMessage, PeerMessages::Acknowledgement>(
    aAddress,
    ToMessage(aEntries),
    aDeadline,
    mPrivate->mEntryBytes,
    [](Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aEnd) {
      aStub.async()->HoldEntries(aContext, aRequest, aReply, std::move(aEnd));
    },
    [done = std::move(aDone)](const grpc::Status& aStatus,
                              const PeerMessages::Acknowledgement&) {
      done(aStatus.ok() ? ErrorOr<void>()
                        : ErrorOr<void>(tl::make_unexpected(ErrorOf(aStatus))));
    });
}

void PeerClient::ForgetEntries(const std::string& aAddress,
                               const Incarnation& aIncarnation,
                               std::uint64_t aUpTo,
                               Duration aDeadline)
{
  PeerMessages::ForgetMessage request;
  request.set_vm(aIncarnation.mVm);
  request.set_nonce(aIncarnation.mNonce);
  request.set_up_to(aUpTo);
  mPrivate->Call<PeerMessages::ForgetMessage, PeerMessages::Acknowledgement>(
    aAddress,
    std::move(request),
    aDeadline,
    mPrivate->mEntryBytes,
    [](Stub& aStub, auto* aContext, auto* aRequest, auto* aReply, auto aEnd) {
      aStub.async()->ForgetEntries(aContext, aRequest, aReply, std::move(aEnd));
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
