#pragma once

#include "Digest.h"

#include <LibGenerated/Peer.pb.h>

/// Conversions between plain values and protobuf messages; only the files that
/// speak gRPC include this.
namespace Acaciavale {

PeerMessages::DigestMessage ToMessage(const Digest& aDigest);
ErrorOr<Digest> FromMessage(const PeerMessages::DigestMessage& aMessage);

PeerMessages::EntriesMessage ToMessage(const std::vector<BillEntry>& aEntries);
ErrorOr<std::vector<BillEntry>> FromMessage(
  const PeerMessages::EntriesMessage& aMessage);

} // namespace Acaciavale
