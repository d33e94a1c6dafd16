#pragma once

#include "Digest.h"
#include "PeerServer.h"

#include <functional>
#include <memory>
#include <string>

/// Calls to peers. Each call returns at once; its callback comes later from a
/// thread of gRPC, exactly once, with an error after the deadline.
namespace Acaciavale {

class PeerClient
{
public:
  PeerClient();
  ~PeerClient();

  /// Cancels what is under way and waits for its callbacks; later calls fail
  /// at once.
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

  std::int64_t ControlBytes() const;
  std::int64_t EntryBytes() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
