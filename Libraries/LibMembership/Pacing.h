#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include "MemberTable.h"

/// Rates and sizes of gossip messages, chosen so that the traffic of a VM stays
/// within its budget at any fleet size.
namespace Acaciavale {

/// Estimated bytes that each side sends per call besides its message: half of
/// the HTTP/2 frames and headers, TCP and IP headers and acknowledgements of
/// the call.
constexpr std::int64_t kCallOverheadBytes = 160;

/// Bytes of one row on the wire, as encoded by DigestCodec.h.
constexpr std::int64_t kRowBytes = 12;

/// Parameters of a gossip round: a VM exchanges digests with mFanOut peers.
struct RoundPlan
{
  Duration mPeriod{};      ///< Time between the starts of two rounds.
  std::size_t mFanOut = 0; ///< Number of peers contacted.
  /// Maximum bytes of rows and evidence in one digest.
  std::int64_t mMaxMessageBytes = 0;
  std::size_t mMaxRows = 0; ///< Maximum number of rows in one digest.

  auto operator<=>(const RoundPlan&) const = default;
};

/// Computes the parameters of a gossip round for a fleet of aMemberCount VMs.
RoundPlan PlanRound(const MembershipOptions& aOptions,
                    std::size_t aMemberCount);

/// Scales the configured failure timeouts to the fleet size, since heartbeats
/// take longer to reach all VMs of a larger fleet.
FailureTimes ScaledFailureTimes(const MembershipOptions& aOptions,
                                std::size_t aMemberCount);

/// Number of times that each VM sends an urgent change, so that it reaches the
/// whole fleet.
int GossipTransmissions(std::size_t aMemberCount);

/// Time between two syncs of one VM with the key-value service.
Duration StorePeriod(const MembershipOptions& aOptions,
                     std::size_t aMemberCount);

/// Number of times that each VM sends an evidence update. Evidence is a sample,
/// so it is acceptable that a few VMs in a hundred miss an update.
constexpr int kEvidenceTransmissions = 4;

/// Time until a VM gathers evidence again after it gathered aEvidenceBytes: the
/// evidence of all VMs, forwarded by all, has to fit into the digests.
Duration EvidencePeriod(const MembershipOptions& aOptions,
                        std::size_t aMemberCount,
                        std::size_t aEvidenceBytes);

} // namespace Acaciavale
