#pragma once

#include "ServerState.h"
#include "Upkeep.h"

#include <memory>
#include <string>

namespace Acaciavale {

/// Keeps the inputs of routing decisions up to date on its own threads: the
/// settings in force, the endpoint list, the load reports, and the evidence.
class Refresher
{
public:
  Refresher(ServerState& aServer, const Upkeep& aUpkeep);
  ~Refresher();
  Refresher(const Refresher&) = delete;
  Refresher& operator=(const Refresher&) = delete;

  void Start();
  void Stop();

  /// The stored record of a settings generation, for peers; empty if this VM
  /// does not have it.
  std::string SettingsRecord(std::int64_t aGeneration) const;
  /// Applies a settings record if it is newer than the settings in force and
  /// complete.
  void OfferSettings(std::int64_t aGeneration, const std::string& aRecord);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
