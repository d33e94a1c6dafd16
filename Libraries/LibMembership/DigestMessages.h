#pragma once

#include "Digest.h"

#include <LibGenerated/Peer.pb.h>

/// Conversions between the plain structs and the protobuf messages. Only files
/// that use protobuf or gRPC include this header.
namespace Acaciavale {

PeerMessages::DigestMessage ToMessage(const Digest& aDigest);
ErrorOr<Digest> FromMessage(const PeerMessages::DigestMessage& aMessage);

PeerMessages::EntriesMessage ToMessage(const std::vector<BillEntry>& aEntries);
ErrorOr<std::vector<BillEntry>> FromMessage(
  const PeerMessages::EntriesMessage& aMessage);

} // namespace Acaciavale
