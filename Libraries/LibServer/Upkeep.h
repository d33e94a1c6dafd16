#pragma once

#include "ServerState.h"

#include <Acaciavale/LibRollout/RolloutController.h>

#include <memory>
#include <string>

namespace Acaciavale {

/// Work in the background that keeps the records in the store in order: the
/// parts of limits, the ledgers of VMs that are gone, claims left in doubt,
/// service-level counters, and the roll-outs.
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

  /// Closes the books of VMs that are dead, in the background.
  void OnVmDead();
  /// Counts evidence for the roll-outs, which judge over all time.
  void AddEvidence(const EvidenceView& aEvidence);
  /// The roll-outs as last read.
  std::vector<RolloutView> Rollouts() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
