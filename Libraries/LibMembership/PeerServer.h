#pragma once

#include "Digest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// The gRPC side that peers call.
namespace Acaciavale {

struct SettingsBody
{
  std::int64_t mGeneration = 0;
  std::string mBody;

  auto operator<=>(const SettingsBody&) const = default;
};

/// What is done with each call. All of these are quick and thread-safe.
struct PeerHandlers
{
  std::function<Digest(const Digest& aDigest)> mExchange;
  std::function<std::optional<SettingsBody>(std::int64_t aGeneration)>
    mFetchSettings;
  std::function<void(const std::vector<BillEntry>& aEntries)> mHoldEntries;
  std::function<void(const Incarnation& aIncarnation, std::uint64_t aUpTo)>
    mForgetEntries;
  /// Bytes of an answer, before compression.
  std::function<void(std::int64_t aBytes)> mCountDigestBytes;
  std::function<void(std::int64_t aBytes)> mCountSettingsBytes;
};

class PeerServer
{
public:
  explicit PeerServer(PeerHandlers aHandlers);
  ~PeerServer();

  /// Returns the address bound.
  ErrorOr<std::string> Start(const std::string& aAddress);
  void Stop();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
