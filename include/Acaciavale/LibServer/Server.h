#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibServer/NodeSettings.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <memory>
#include <optional>
#include <string>

/// The server of one VM: accepts requests from callers and forwards them to
/// endpoints.
namespace Acaciavale {

/// The node settings and the options of the command line.
struct ServerOptions
{
  NodeSettings mNodeSettings;
  /// Settings to use instead of those in the store, for trials on one machine.
  std::optional<Settings> mFixedSettings;
  /// File to which the bound addresses are written; empty to write none.
  std::string mAnnounceFile;
};

class Server
{
public:
  explicit Server(ServerOptions aOptions);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds the addresses and starts the threads.
  ErrorOr<void> Start();
  /// Blocks until a requested stop has completed.
  void WaitUntilStopped();
  /// Requests a graceful stop; further calls have no effect. Thread-safe.
  void RequestStop();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
