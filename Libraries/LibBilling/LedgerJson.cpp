#include "LedgerJson.h"

#include <Acaciavale/LibCore/Random.h>

namespace Acaciavale {

using Json = nlohmann::json;

Json EncodeTotals(const AccountTotals& aTotals)
{
  Json json = Json::object();
  for (const auto& [account, total] : aTotals) {
    json[account] = { total.mRequests, total.mCharge.mMicros };
  }
  return json;
}

AccountTotals DecodeTotals(const Json& aJson)
{
  AccountTotals totals;
  for (const auto& item : aJson.items()) {
    totals[item.key()] = { item.value().at(0).get<std::uint64_t>(),
                           Money{ item.value().at(1).get<std::int64_t>() } };
  }
  return totals;
}

Json EncodeNumbers(const NumberSet& aSet)
{
  Json json = Json::array();
  for (const NumberRange& range : aSet.mRanges) {
    json.push_back({ range.mFirst, range.mLast });
  }
  return json;
}

NumberSet DecodeNumbers(const Json& aJson)
{
  NumberSet set;
  for (const Json& range : aJson) {
    set.mRanges.push_back(
      { range.at(0).get<std::uint64_t>(), range.at(1).get<std::uint64_t>() });
  }
  return set;
}

std::string WriterNonce()
{
  thread_local Random sRandom(EntropySeed());
  return RandomToken(sRandom);
}

std::string DumpJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Acaciavale
