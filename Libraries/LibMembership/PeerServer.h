#pragma once

#include "Digest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// gRPC server for calls from peers.
namespace Acaciavale {

/// The settings of one generation, as stored in the key-value service.
struct SettingsBody
{
  std::int64_t mGeneration = 0;
  std::string mBody;

  auto operator<=>(const SettingsBody&) const = default;
};

/// Handlers of the calls from peers. gRPC threads call them concurrently, so
/// they must be thread-safe and must not block for long.
struct PeerHandlers
{
  std::function<Digest(const Digest& aDigest)> mExchange;
  std::function<std::optional<SettingsBody>(std::int64_t aGeneration)>
    mFetchSettings;
  std::function<void(const std::vector<BillEntry>& aEntries)> mHoldEntries;
  std::function<void(const Incarnation& aIncarnation, std::uint64_t aUpTo)>
    mForgetEntries;
  /// Called with the size of each digest reply.
  std::function<void(std::int64_t aBytes)> mCountDigestBytes;
  /// Called with the size of each settings reply before compression.
  std::function<void(std::int64_t aBytes)> mCountSettingsBytes;
};

class PeerServer
{
public:
  explicit PeerServer(PeerHandlers aHandlers);
  ~PeerServer();

  /// Starts to listen. Returns the address with the port that was bound.
  ErrorOr<std::string> Start(const std::string& aAddress);
  void Stop();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
