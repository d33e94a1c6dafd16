#pragma once

#include "NumberSet.h"

#include <Acaciavale/LibBilling/Ledger.h>

#include <nlohmann/json.hpp>

/// JSON encoding shared by ledgers and the archive. Included only by their .cpp
/// files.
namespace Acaciavale {

nlohmann::json EncodeTotals(const AccountTotals& aTotals);
/// Throws a Json exception where a member is missing or of another type.
AccountTotals DecodeTotals(const nlohmann::json& aJson);
nlohmann::json EncodeNumbers(const NumberSet& aSet);
/// Throws a Json exception where a member is missing or of another type.
NumberSet DecodeNumbers(const nlohmann::json& aJson);
/// A new random nonce for each write.
std::string WriterNonce();
std::string DumpJson(const nlohmann::json& aJson);

} // namespace Acaciavale
