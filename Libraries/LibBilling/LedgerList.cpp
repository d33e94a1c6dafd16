#include "LedgerList.h"

#include <Acaciavale/LibCore/Log.h>

namespace Acaciavale {

namespace {

constexpr char kLogComponent[] = "billing";

} // namespace

ErrorOr<std::vector<ListedLedger>> ListLedgers(const KeyValueStore& aStore)
{
  std::vector<ListedLedger> ledgers;
  for (const KeyValueEntry& entry :
       ACACIAVALE_TRY(aStore.mList(kLedgerPrefix))) {
    const auto incarnation = ParseLedgerKey(entry.mKey);
    const auto record = DecodeLedger(entry.mValue);
    if (!incarnation || !record) {
      Log(LogLevel::Error,
          kLogComponent,
          "Skipping a malformed ledger in the store.",
          { { "key", entry.mKey } });
      continue;
    }
    ledgers.push_back(
      { entry.mKey, *incarnation, { entry.mRevision, *record } });
  }
  return ledgers;
}

} // namespace Acaciavale
