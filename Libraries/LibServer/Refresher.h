#pragma once

#include "ServerState.h"
#include "Upkeep.h"

#include <memory>
#include <string>

namespace Acaciavale {

/// Keeps what decisions look at fresh, on threads of its own: the settings in
/// force, the list of endpoints, their load reports, and the evidence.
class Refresher
{
public:
  Refresher(ServerState& aServer, const Upkeep& aUpkeep);
  ~Refresher();
  Refresher(const Refresher&) = delete;
  Refresher& operator=(const Refresher&) = delete;

  void Start();
  void Stop();

  /// The stored record of a generation, for peers; empty if not at hand.
  std::string SettingsRecord(std::int64_t aGeneration) const;
  /// Takes a record of settings if it is newer and whole.
  void OfferSettings(std::int64_t aGeneration, const std::string& aRecord);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
