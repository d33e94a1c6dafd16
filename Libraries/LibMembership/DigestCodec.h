#pragma once

#include "Digest.h"

#include <string>

/// Digests and bill entries as protobuf messages. Parsing trusts nothing: each
/// list has a bound and each number is checked.
namespace Acaciavale {

/// Most items of each kind that one message may carry.
constexpr int kMaxRowsPerDigest = 4096;
constexpr int kMaxDescriptionsPerDigest = 64;
constexpr int kMaxUpdatesPerDigest = 64;
constexpr int kMaxCellsPerUpdate = 64;
constexpr int kMaxEntriesPerMessage = 4096;
constexpr std::size_t kMaxNameBytes = 256;

std::string SerializeDigest(const Digest& aDigest);
ErrorOr<Digest> ParseDigest(const std::string& aBytes);

std::string SerializeEntries(const std::vector<BillEntry>& aEntries);
ErrorOr<std::vector<BillEntry>> ParseEntries(const std::string& aBytes);

} // namespace Acaciavale
