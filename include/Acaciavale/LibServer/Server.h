#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibServer/NodeSettings.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <memory>
#include <optional>
#include <string>

/// One VM's part of the system: callers on one side, endpoints on the other.
namespace Acaciavale {

/// What the command line adds to the file of settings.
struct ServerOptions
{
  NodeSettings mNodeSettings;
  /// Serve this tree instead of the store's: for trials on one machine.
  std::optional<Settings> mFixedSettings;
  std::string mAnnounceFile; ///< Where to write the addresses bound, or empty.
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
  /// Serves until a stop was asked for and has ended gracefully.
  void WaitUntilStopped();
  /// Asks for a graceful stop; asking again changes nothing. Thread-safe.
  void RequestStop();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
