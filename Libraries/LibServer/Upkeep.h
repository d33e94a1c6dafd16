#pragma once

#include "ServerState.h"

#include <Acaciavale/LibRollout/RolloutController.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// Background maintenance of the records in the store: the shares of limits,
/// the ledgers of dead VMs, claims of uncertain state, service-level counters,
/// and the roll-outs.
class Upkeep
{
public:
  Upkeep(ServerState& aServer,
         const std::string& aIncarnation,
         std::uint64_t aSeed);
  ~Upkeep();
  Upkeep(const Upkeep&) = delete;
  Upkeep& operator=(const Upkeep&) = delete;

  void Start();
  void Stop();

  /// Starts to close the ledgers of dead VMs in the background.
  void OnVmDead();
  /// Adds evidence to the totals for the roll-outs, which never age.
  void AddEvidence(const EvidenceView& aEvidence);
  /// The roll-outs as last reported by the roll-out controller.
  std::vector<RolloutView> Rollouts() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
