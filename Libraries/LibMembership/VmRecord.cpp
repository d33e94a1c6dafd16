#include "VmRecord.h"

#include <nlohmann/json.hpp>

namespace Acaciavale {

std::string VmKey(const std::string& aName)
{
  return kVmPrefix + aName;
}

std::string SerializeVmRecord(const VmState& aState,
                              UnixMilliseconds aTime,
                              const std::string& aNonce)
{
  const nlohmann::json record = {
    { "name", aState.mName },
    { "incarnation", aState.mIncarnation },
    { "caller_address", aState.mCallerAddress },
    { "peer_address", aState.mPeerAddress },
    { "operator_address", aState.mOperatorAddress },
    { "failure_domain", aState.mFailureDomain },
    { "weight", aState.mWeight },
    { "draining", aState.mDraining },
    { "settings_generation", aState.mSettingsGeneration },
    { "time", aTime.count() },
    { "nonce", aNonce },
  };
  return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ErrorOr<VmState> ParseVmRecord(const std::string& aValue)
{
  const auto record = nlohmann::json::parse(aValue, nullptr, false);
  if (!record.is_object()) {
    return MakeError(ErrorCode::Invalid, "VM record is not a JSON object.");
  }
  try {
    VmState state;
    state.mName = record.at("name").get<std::string>();
    state.mIncarnation = record.at("incarnation").get<std::string>();
    state.mCallerAddress = record.value("caller_address", "");
    state.mPeerAddress = record.at("peer_address").get<std::string>();
    state.mOperatorAddress = record.value("operator_address", "");
    state.mFailureDomain = record.value("failure_domain", "");
    state.mWeight = record.value("weight", std::int64_t(1));
    state.mDraining = record.value("draining", false);
    state.mSettingsGeneration =
      record.value("settings_generation", std::int64_t(0));
    return state;
  } catch (const nlohmann::json::exception&) {
    return MakeError(ErrorCode::Invalid,
                     "VM record lacks a field or has one of the wrong type.");
  }
}

} // namespace Acaciavale
