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
                Duration aDeadline,
                std::function<void(ErrorOr<Digest>)> aDone);
  void FetchSettings(const std::string& aAddress,
                     std::int64_t aGeneration,
                     Duration aDeadline,
                     std::function<void(ErrorOr<SettingsBody>)> aDone);
  void HoldEntries(const std::string& aAddress,
                   const std::vector<BillEntry>& aEntries,
                   Duration aDeadline,
                   std::function<void(ErrorOr<void>)> aDone);
  void ForgetEntries(const std::string& aAddress,
                     const Incarnation& aIncarnation,
                     std::uint64_t aUpTo,
                     Duration aDeadline);

  std::int64_t ControlBytes() const;
  std::int64_t EntryBytes() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
