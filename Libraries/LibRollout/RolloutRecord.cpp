#include <Acaciavale/LibRollout/RolloutRecord.h>

#include <Acaciavale/LibRollout/RolloutPlan.h>

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

constexpr const char* kPhaseNames[] = { "running", "paused", "halted", "done" };

ErrorOr<RolloutPhase> PhaseOf(const std::string& aName)
{
  for (std::size_t index = 0; index < std::size(kPhaseNames); ++index) {
    if (aName == kPhaseNames[index]) {
      return static_cast<RolloutPhase>(index);
    }
  }
  return MakeError(ErrorCode::Invalid,
                   "The roll-out record has an unknown phase.");
}

nlohmann::json ToJson(const EvidenceCell& aCell)
{
  return { { "rated", aCell.mRated },
           { "good", aCell.mGood },
           { "answers", aCell.mAnswers },
           { "errors", aCell.mErrors },
           { "first_token_seconds", aCell.mFirstTokenSeconds } };
}

EvidenceCell CellOf(const nlohmann::json& aJson)
{
  EvidenceCell cell;
  cell.mRated = aJson.at("rated").get<double>();
  cell.mGood = aJson.at("good").get<double>();
  cell.mAnswers = aJson.at("answers").get<double>();
  cell.mErrors = aJson.at("errors").get<double>();
  cell.mFirstTokenSeconds = aJson.at("first_token_seconds").get<double>();
  return cell;
}

} // namespace

std::string RolloutKey(const std::string& aName)
{
  return kRolloutPrefix + aName;
}

std::string SerializeOrder(const RolloutOrder& aOrder)
{
  const nlohmann::json body = { { "fence", aOrder.mFence },
                                { "order_id", aOrder.mOrderId },
                                { "action", Describe(aOrder.mKind) },
                                { "model", aOrder.mModel },
                                { "version", aOrder.mVersion } };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string SerializeProgress(const RolloutProgress& aProgress,
                              const std::string& aNonce)
{
  const nlohmann::json record = {
    { "name", aProgress.mName },
    { "phase", kPhaseNames[static_cast<std::size_t>(aProgress.mPhase)] },
    { "step", aProgress.mStep },
    { "fence", aProgress.mFence },
    { "holder", aProgress.mHolder },
    { "baseline", ToJson(aProgress.mBaseline) },
    { "candidate", ToJson(aProgress.mCandidate) },
    { "reason", aProgress.mReason },
    { "nonce", aNonce },
  };
  return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ErrorOr<RolloutProgress> ParseProgress(const std::string& aValue)
{
  const auto record = nlohmann::json::parse(aValue, nullptr, false);
  if (!record.is_object()) {
    return MakeError(ErrorCode::Invalid,
                     "The roll-out record is not a JSON object.");
  }
  try {
    RolloutProgress progress;
    progress.mName = record.at("name").get<std::string>();
    progress.mPhase =
      ACACIAVALE_TRY(PhaseOf(record.at("phase").get<std::string>()));
    progress.mStep = record.at("step").get<std::size_t>();
    progress.mFence = record.at("fence").get<std::uint64_t>();
    progress.mHolder = record.at("holder").get<std::string>();
    progress.mBaseline = CellOf(record.at("baseline"));
    progress.mCandidate = CellOf(record.at("candidate"));
    progress.mReason = record.at("reason").get<std::string>();
    return progress;
  } catch (const nlohmann::json::exception&) {
    return MakeError(ErrorCode::Invalid,
                     "The roll-out record has a missing or invalid field.");
  }
}

ErrorOr<void> ResumeRollout(const KeyValueStore& aStore,
                            const std::string& aName,
                            const std::string& aNonce)
{
  const auto found = ACACIAVALE_TRY(aStore.mRead(RolloutKey(aName)));
  if (!found) {
    return MakeError(ErrorCode::NotFound, "The roll-out does not exist.");
  }
  RolloutProgress progress = ACACIAVALE_TRY(ParseProgress(found->mValue));
  if (progress.mPhase != RolloutPhase::Halted) {
    return MakeError(ErrorCode::Invalid, "The roll-out is not halted.");
  }
  progress.mPhase = RolloutPhase::Running;
  progress.mReason = "An operator resumed the roll-out.";
  // NOTE: The lease is released; the next holder collects the evidence again.
  progress.mHolder.clear();
  ACACIAVALE_TRY(WriteResolved(
    aStore,
    { found->mKey, SerializeProgress(progress, aNonce), found->mRevision, 0 }));
  return {};
}

} // namespace Acaciavale
