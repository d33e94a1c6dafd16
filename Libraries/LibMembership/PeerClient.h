#pragma once

#include "Digest.h"
#include "PeerServer.h"

#include <functional>
#include <memory>
#include <string>

/// gRPC client for calls to peers. Each call returns at once. Its callback is
/// called exactly once, usually later from a gRPC thread, with an error if the
/// call fails or times out.
namespace Acaciavale {

class PeerClient
{
public:
  PeerClient();
  ~PeerClient();

  /// Cancels the calls in progress and waits for their callbacks. Later calls
  /// fail at once.
  void Close();

  void Exchange(const std::string& aAddress,
                const Digest& aDigest,
                Duration aTimeout,
                std::function<void(ErrorOr<Digest>)> aCallback);
  void FetchSettings(const std::string& aAddress,
                     std::int64_t aGeneration,
                     Duration aTimeout,
                     std::function<void(ErrorOr<SettingsBody>)> aCallback);
  void HoldEntries(const std::string& aAddress,
                   const std::vector<BillEntry>& aEntries,
                   Duration aTimeout,
                   std::function<void(ErrorOr<void>)> aCallback);
  void ForgetEntries(const std::string& aAddress,
                     const Incarnation& aIncarnation,
                     std::uint64_t aUpTo,
                     Duration aTimeout);

  /// Bytes sent in digest and settings requests, with the estimated overhead.
  std::int64_t ControlBytes() const;
  /// Bytes sent in calls about bill entries, with the estimated overhead.
  std::int64_t EntryBytes() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
