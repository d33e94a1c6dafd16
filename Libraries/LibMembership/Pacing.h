#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include "MemberTable.h"

/// How often and how much a VM tells, so that the bytes stay in the budget
/// however large the fleet is.
namespace Acaciavale {

/// Bytes of one call besides its message: HTTP/2 frames and headers of both
/// directions, TCP and IP headers, acknowledgements; half of it for each side.
constexpr std::int64_t kCallOverheadBytes = 160;

/// Bytes of one row on the wire, as the codec writes it.
constexpr std::int64_t kRowBytes = 12;

/// One round of digests: a request to each of mFanOut peers, each answered.
struct RoundPlan
{
  Duration mPeriod{};
  std::size_t mFanOut = 0;
  std::int64_t mMaxMessageBytes = 0; ///< For rows and evidence of one message.
  std::size_t mMaxRows = 0;          ///< Rows of one message, at most.

  auto operator<=>(const RoundPlan&) const = default;
};

/// The round for a fleet of that many VMs.
RoundPlan PlanRound(const MembershipOptions& aOptions,
                    std::size_t aMemberCount);

/// Silence is judged by how long news of a live VM may take in a fleet of that
/// size.
FailureTimes ScaledFailureTimes(const MembershipOptions& aOptions,
                                std::size_t aMemberCount);

/// How often a VM tells a piece of news on, so that it reaches the whole fleet.
int GossipTransmissions(std::size_t aMemberCount);

/// Time between two uses of the key-value service by one VM.
Duration StorePeriod(const MembershipOptions& aOptions,
                     std::size_t aMemberCount);

/// How often a VM tells a piece of evidence on. Evidence is a sample: a few VMs
/// in a hundred may miss a piece.
constexpr int kEvidenceTransmissions = 4;

/// Time until a VM gathers evidence again, after that many bytes of it: the
/// evidence of all VMs, told on by all, has to fit into the digests.
Duration EvidencePeriod(const MembershipOptions& aOptions,
                        std::size_t aMemberCount,
                        std::size_t aEvidenceBytes);

} // namespace Acaciavale
