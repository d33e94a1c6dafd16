#pragma once

#include <Acaciavale/LibMembership/Membership.h>

#include <cstdint>
#include <string>
#include <vector>

/// What travels in one digest, as plain values.
namespace Acaciavale {

/// A VM's short name on the wire: a hash of its name and incarnation.
using ShortId = std::uint32_t;

ShortId ShortIdOf(const std::string& aName, const std::string& aIncarnation);

/// The part of a VM's state that changes, by short id.
struct DigestRow
{
  ShortId mId = 0;
  std::uint64_t mHeartbeat = 0;
  std::int64_t mInFlight = 0;
  std::int64_t mSettingsGeneration = 0;
  bool mDraining = false;
  bool mStoreReachable = true;
  bool mLeft = false; ///< It stopped in order and comes back under a new name.

  auto operator<=>(const DigestRow&) const = default;
};

/// A VM in full, for peers that do not know its short id.
struct VmDescription
{
  VmState mState;
  bool mLeft = false;

  auto operator<=>(const VmDescription&) const = default;
};

/// Evidence gathered by one VM in one period; origin and sequence make it
/// count once wherever it comes from.
struct EvidenceUpdate
{
  ShortId mOrigin = 0;
  std::uint32_t mSequence = 0;
  EvidenceView mCells;

  auto operator<=>(const EvidenceUpdate&) const = default;
};

struct Digest
{
  ShortId mSender = 0;
  std::vector<DigestRow> mRows;
  std::vector<VmDescription> mDescriptions;
  std::vector<EvidenceUpdate> mEvidence;
  std::vector<ShortId> mUnknownIds; ///< Please describe these.

  auto operator<=>(const Digest&) const = default;
};

} // namespace Acaciavale
