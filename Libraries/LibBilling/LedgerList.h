#pragma once

#include "LedgerRecord.h"

/// All ledgers that the store holds, in one reading.
namespace Acaciavale {

struct ListedLedger
{
  std::string mKey;
  Incarnation mIncarnation;
  StoredLedger mLedger;

  auto operator<=>(const ListedLedger&) const = default;
};

/// A record that cannot be read is left for people, and the log tells of it.
ErrorOr<std::vector<ListedLedger>> ListLedgers(const KeyValueStore& aStore);

} // namespace Acaciavale
