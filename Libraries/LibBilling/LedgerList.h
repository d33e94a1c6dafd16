#pragma once

#include "LedgerRecord.h"

/// Lists all ledgers in the store.
namespace Acaciavale {

struct ListedLedger
{
  std::string mKey;
  Incarnation mIncarnation;
  StoredLedger mLedger;

  auto operator<=>(const ListedLedger&) const = default;
};

/// Logs and skips a malformed record, which is left in the store for an
/// operator to inspect.
ErrorOr<std::vector<ListedLedger>> ListLedgers(const KeyValueStore& aStore);

} // namespace Acaciavale
