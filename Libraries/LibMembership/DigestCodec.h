#pragma once

#include "Digest.h"

#include <string>

/// Serializes digests and bill entries as protobuf messages. Input is
/// untrusted: parsing checks the length of each list and the range of each
/// number.
namespace Acaciavale {

/// Maximum number of items of each kind in one message.
constexpr int kMaxRowsPerDigest = 4096;
constexpr int kMaxDescriptionsPerDigest = 64;
constexpr int kMaxUpdatesPerDigest = 64;
constexpr int kMaxCellsPerUpdate = 64;
constexpr int kMaxEntriesPerMessage = 4096;
/// Maximum length of each name and address in a digest.
constexpr std::size_t kMaxNameBytes = 256;

std::string SerializeDigest(const Digest& aDigest);
ErrorOr<Digest> ParseDigest(const std::string& aBytes);

std::string SerializeEntries(const std::vector<BillEntry>& aEntries);
ErrorOr<std::vector<BillEntry>> ParseEntries(const std::string& aBytes);

} // namespace Acaciavale
