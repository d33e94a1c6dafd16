#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include <cstdint>
#include <string>
#include <vector>

/// Contents of a gossip digest as plain structs, independent of protobuf.
namespace Acaciavale {

/// Identifier of a VM on the wire: a hash of its name and incarnation.
using ShortId = std::uint32_t;

ShortId ShortIdOf(const std::string& aName, const std::string& aIncarnation);

/// The fields of a VM's state that change often.
struct DigestRow
{
  ShortId mId = 0;
  std::uint64_t mHeartbeat = 0;
  std::int64_t mInFlight = 0;
  std::int64_t mSettingsGeneration = 0;
  bool mDraining = false;
  bool mStoreReachable = true;
  /// Whether the VM stopped gracefully. It rejoins as a new incarnation only.
  bool mLeft = false;

  auto operator<=>(const DigestRow&) const = default;
};

/// The full state of a VM, sent to peers that have no record of its id.
struct VmDescription
{
  VmState mState;
  bool mLeft = false;

  auto operator<=>(const VmDescription&) const = default;
};

/// Evidence that one VM gathered in one period. Receivers use the origin and
/// the sequence number to count it once, whichever peers forward it.
struct EvidenceUpdate
{
  ShortId mOrigin = 0;
  std::uint32_t mSequence = 0;
  EvidenceView mCells;

  auto operator<=>(const EvidenceUpdate&) const = default;
};

/// One gossip message.
struct Digest
{
  ShortId mSender = 0;
  std::vector<DigestRow> mRows;
  std::vector<VmDescription> mDescriptions;
  std::vector<EvidenceUpdate> mEvidence;
  std::vector<ShortId> mUnknownIds; ///< Ids whose description is requested.

  auto operator<=>(const Digest&) const = default;
};

} // namespace Acaciavale
