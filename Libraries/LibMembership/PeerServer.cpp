#include "PeerServer.h"
#include "DigestMessages.h"

#include <Acaciavale/LibCore/Time.h>

#include <LibGenerated/Peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

namespace Acaciavale {

namespace {

constexpr int kMaxMessageBytes = 4 << 20;
constexpr int kMaxServerThreads = 8;
constexpr std::size_t kMaxServerMemoryBytes = 32 << 20;
constexpr Duration kShutdownTimeout = std::chrono::milliseconds(500);

/// Handles each call directly on the gRPC thread, since the handlers only take
/// a lock.
class PeerService final : public PeerMessages::Peer::CallbackService
{
public:
  explicit PeerService(PeerHandlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  grpc::ServerUnaryReactor* Exchange(
    grpc::CallbackServerContext* aContext,
    const PeerMessages::DigestMessage* aRequest,
    PeerMessages::DigestMessage* aReply) override
  {
    const auto digest = FromMessage(*aRequest);
    if (!digest) {
      return RejectInvalid(aContext, digest.error());
    }
    *aReply = ToMessage(mHandlers.mExchange(*digest));
    mHandlers.mCountDigestBytes(
      static_cast<std::int64_t>(aReply->ByteSizeLong()));
    return Finish(aContext, grpc::Status::OK);
  }

  grpc::ServerUnaryReactor* FetchSettings(
    grpc::CallbackServerContext* aContext,
    const PeerMessages::SettingsRequest* aRequest,
    PeerMessages::SettingsReply* aReply) override
  {
    const auto body = mHandlers.mFetchSettings(aRequest->generation());
    if (!body) {
      return Finish(
        aContext,
        grpc::Status(grpc::StatusCode::NOT_FOUND,
                     "settings generation not available on this VM"));
    }
    aContext->set_compression_algorithm(GRPC_COMPRESS_GZIP);
    aReply->set_generation(body->mGeneration);
    aReply->set_body(body->mBody);
    mHandlers.mCountSettingsBytes(
      static_cast<std::int64_t>(aReply->ByteSizeLong()));
    return Finish(aContext, grpc::Status::OK);
  }

  grpc::ServerUnaryReactor* HoldEntries(
    grpc::CallbackServerContext* aContext,
    const PeerMessages::EntriesMessage* aRequest,
    PeerMessages::Acknowledgement*) override
  {
    const auto entries = FromMessage(*aRequest);
    if (!entries) {
      return RejectInvalid(aContext, entries.error());
    }
    mHandlers.mHoldEntries(*entries);
    return Finish(aContext, grpc::Status::OK);
  }

  grpc::ServerUnaryReactor* ForgetEntries(
    grpc::CallbackServerContext* aContext,
    const PeerMessages::ForgetMessage* aRequest,
    PeerMessages::Acknowledgement*) override
  {
    mHandlers.mForgetEntries({ aRequest->vm(), aRequest->nonce() },
                             aRequest->up_to());
    return Finish(aContext, grpc::Status::OK);
  }

private:
  static grpc::ServerUnaryReactor* Finish(grpc::CallbackServerContext* aContext,
                                          const grpc::Status& aStatus)
  {
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(aStatus);
    return reactor;
  }

  static grpc::ServerUnaryReactor* RejectInvalid(
    grpc::CallbackServerContext* aContext,
    const Error& aError)
  {
    return Finish(
      aContext,
      grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, aError.mMessage));
  }

  PeerHandlers mHandlers;
};

std::string HostOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

} // namespace

struct PeerServer::Private
{
  explicit Private(PeerHandlers aHandlers)
    : mService(std::move(aHandlers))
  {
  }

  PeerService mService;
  std::unique_ptr<grpc::Server> mServer;
};

PeerServer::PeerServer(PeerHandlers aHandlers)
  : mPrivate(std::make_unique<Private>(std::move(aHandlers)))
{
}

PeerServer::~PeerServer()
{
  Stop();
}

ErrorOr<std::string> PeerServer::Start(const std::string& aAddress)
{
  grpc::ResourceQuota quota("peers");
  quota.SetMaxThreads(kMaxServerThreads);
  quota.Resize(kMaxServerMemoryBytes);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials(), &port);
  // NOTE: Without this argument, two processes could bind the same port and
  //       share its calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.SetResourceQuota(quota);
  builder.RegisterService(&mPrivate->mService);
  mPrivate->mServer = builder.BuildAndStart();
  if (!mPrivate->mServer || port == 0) {
    return MakeError(ErrorCode::Unavailable,
                     "Failed to bind the peer address " + aAddress + ".");
  }
  return HostOf(aAddress) + ":" + std::to_string(port);
}

void PeerServer::Stop()
{
  if (mPrivate->mServer) {
    mPrivate->mServer->Shutdown(std::chrono::system_clock::now() +
                                kShutdownTimeout);
    mPrivate->mServer.reset();
  }
}

} // namespace Acaciavale
