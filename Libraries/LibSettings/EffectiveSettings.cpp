#include "EffectiveSettings.h"
#include "Text.h"
#include "Values.h"

#include <algorithm>

namespace Acaciavale {

namespace {

/// Typed access to the values in force of one section.
class SectionValues
{
public:
  SectionValues(const SettingsTree& aTree, SectionName aName)
    : mTree(aTree)
    , mName(std::move(aName))
  {
  }

  std::string Text(const std::string& aKey) const
  {
    const SettingRow row = FindRow(mName.mKind, aKey).value();
    const std::string text = ResolveValue(mTree, mName, row).mText;
    return FindValueError(row, text) ? row.mDefault : text;
  }

  double Number(const std::string& aKey) const
  {
    const SettingRow row = FindRow(mName.mKind, aKey).value();
    return NumericValue(row.mType, Text(aKey)).value_or(0);
  }

  std::int64_t Integer(const std::string& aKey) const
  {
    return static_cast<std::int64_t>(Number(aKey));
  }

  Duration DurationValue(const std::string& aKey) const
  {
    return ParseDuration(Text(aKey)).value_or(Duration{});
  }

  bool Boolean(const std::string& aKey) const { return Text(aKey) == "yes"; }

  std::vector<std::string> List(const std::string& aKey) const
  {
    return SplitList(Text(aKey));
  }

  std::size_t EnumIndex(const std::string& aKey) const
  {
    const SettingRow row = FindRow(mName.mKind, aKey).value();
    return WordIndex(row.mType, Text(aKey)).value_or(0);
  }

private:
  const SettingsTree& mTree;
  SectionName mName;
};

DeploymentSettings BuildDeployment(const SectionValues& aValues)
{
  DeploymentSettings deployment;
  deployment.mName = aValues.Text("name");
  deployment.mCurrency = aValues.Text("currency");
  deployment.mRequestDeadline = aValues.DurationValue("request-deadline");
  deployment.mEntryTimeToKeep = aValues.DurationValue("entry-time-to-keep");
  deployment.mClaimRetention = aValues.DurationValue("claim-retention");
  deployment.mIsolatedServing = aValues.DurationValue("isolated-serving");
  deployment.mRetryBudget = aValues.Number("retry-budget");
  deployment.mHedgeBudget = aValues.Number("hedge-budget");
  deployment.mEjectionCeiling = aValues.Number("ejection-ceiling");
  deployment.mMaxBodyBytes = aValues.Integer("max-body");
  deployment.mMaxConnections = aValues.Integer("max-connections");
  deployment.mSessionKey = aValues.Text("session-key");
  deployment.mOldSessionKey = aValues.Text("old-session-key");
  return deployment;
}

VersionSettings BuildVersion(const std::string& aName,
                             const SectionValues& aValues)
{
  VersionSettings version;
  version.mName = aName;
  version.mState = static_cast<VersionState>(aValues.EnumIndex("state"));
  version.mInputPrice = TokenPrice{ aValues.Integer("input-price") };
  version.mOutputPrice = TokenPrice{ aValues.Integer("output-price") };
  version.mPriorQuality = aValues.Number("prior-quality");
  version.mPriorWeight = aValues.Integer("prior-weight");
  version.mFirstToken = aValues.DurationValue("first-token");
  version.mPerToken = aValues.DurationValue("per-token");
  return version;
}

CascadeSettings BuildCascade(const std::string& aName,
                             const SectionValues& aValues)
{
  CascadeSettings cascade;
  cascade.mName = aName;
  for (const std::string& stage : aValues.List("stages")) {
    cascade.mStages.push_back(ParseStage(stage).value_or(CascadeStage{}));
  }
  cascade.mAcceptConfidence = aValues.Number("accept-confidence");
  return cascade;
}

ClientAccountSettings BuildAccount(const std::string& aName,
                                   const SectionValues& aValues)
{
  ClientAccountSettings account;
  account.mName = aName;
  account.mKeySalt = aValues.Text("key-salt");
  account.mKeyHash = aValues.Text("key-hash");
  account.mOldKeySalt = aValues.Text("old-key-salt");
  account.mOldKeyHash = aValues.Text("old-key-hash");
  account.mModels = aValues.List("models");
  account.mVersions = aValues.List("versions");
  account.mServices = aValues.List("services");
  account.mQualityTarget = aValues.Number("quality-target");
  account.mRequestsPerSecond = aValues.Number("requests-per-second");
  account.mBurst = aValues.Integer("burst");
  account.mMaxInFlight = aValues.Integer("max-in-flight");
  account.mPriority = static_cast<Priority>(aValues.EnumIndex("priority"));
  return account;
}

ServiceRoute BuildRoute(const SectionValues& aValues)
{
  ServiceRoute route;
  route.mMethod = aValues.Text("method");
  route.mPath = aValues.Text("path");
  route.mRepeatable = aValues.Boolean("repeatable");
  route.mDeadline = aValues.DurationValue("deadline");
  route.mPriority = static_cast<Priority>(aValues.EnumIndex("priority"));
  return route;
}

RolloutSettings BuildRollout(const std::string& aName,
                             const SectionValues& aValues)
{
  RolloutSettings rollout;
  rollout.mName = aName;
  rollout.mModel = aValues.Text("model");
  rollout.mFrom = aValues.Text("from");
  rollout.mTo = aValues.Text("to");
  for (const std::string& share : aValues.List("steps")) {
    rollout.mSteps.push_back(ParseNumber(share).value_or(0));
  }
  rollout.mMinimumSamples = aValues.Integer("minimum-samples");
  rollout.mExposureBudget = aValues.Integer("exposure-budget");
  rollout.mMaxErrorIncrease = aValues.Number("max-error-increase");
  rollout.mMaxQualityDrop = aValues.Number("max-quality-drop");
  rollout.mMaxLatencyRatio = aValues.Number("max-latency-ratio");
  rollout.mPaused = aValues.Boolean("paused");
  return rollout;
}

ObjectiveSettings BuildObjective(const SectionValues& aValues)
{
  ObjectiveSettings objective;
  objective.mAccount = aValues.Text("account");
  objective.mModel = aValues.Text("model");
  objective.mAvailability = aValues.Number("availability");
  objective.mFirstToken = aValues.DurationValue("first-token");
  objective.mBetweenTokens = aValues.DurationValue("between-tokens");
  objective.mLatencyShare = aValues.Number("latency-share");
  objective.mQuality = aValues.Number("quality");
  return objective;
}

std::string FirstPathSegment(const std::string& aPath)
{
  return aPath.substr(0, aPath.find('/'));
}

void BuildModels(const SettingsTree& aTree, Settings& aSettings)
{
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Model)) {
    const std::string& name = section->mName.mPath;
    aSettings.mModels[name].mName = name;
  }
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Version)) {
    const std::string& path = section->mName.mPath;
    ModelSettings& model = aSettings.mModels[FirstPathSegment(path)];
    model.mName = FirstPathSegment(path);
    model.mVersions.push_back(BuildVersion(
      LastPathSegment(path), SectionValues(aTree, section->mName)));
  }
}

void BuildServices(const SettingsTree& aTree, Settings& aSettings)
{
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Service)) {
    const std::string& name = section->mName.mPath;
    ServiceSettings& service = aSettings.mServices[name];
    service.mName = name;
    service.mPricePerCall =
      Money{ SectionValues(aTree, section->mName).Integer("price-per-call") };
  }
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Route)) {
    const std::string name = FirstPathSegment(section->mName.mPath);
    ServiceSettings& service = aSettings.mServices[name];
    service.mName = name;
    service.mRoutes.push_back(BuildRoute(SectionValues(aTree, section->mName)));
  }
}

} // namespace

std::string LastPathSegment(const std::string& aPath)
{
  const std::size_t slash = aPath.rfind('/');
  return slash == std::string::npos ? aPath : aPath.substr(slash + 1);
}

std::vector<const TreeSection*> FindLeafSections(const SettingsTree& aTree,
                                                 SectionKind aKind)
{
  const std::set<SectionName> groups = FindGroups(aTree);
  std::vector<const TreeSection*> leaves;
  for (const auto& [name, section] : aTree.mSections) {
    if (name.mKind == aKind && !name.mPath.empty() && !groups.contains(name)) {
      leaves.push_back(&section);
    }
  }
  std::sort(
    leaves.begin(), leaves.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mPlace < aRight->mPlace;
    });
  return leaves;
}

Settings BuildSettings(const SettingsTree& aTree)
{
  Settings settings;
  settings.mDeployment =
    BuildDeployment(SectionValues(aTree, { SectionKind::Deployment, "" }));
  BuildModels(aTree, settings);
  BuildServices(aTree, settings);
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Cascade)) {
    const std::string& name = section->mName.mPath;
    settings.mCascades[name] =
      BuildCascade(name, SectionValues(aTree, section->mName));
  }
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Account)) {
    const std::string name = LastPathSegment(section->mName.mPath);
    settings.mAccounts[name] =
      BuildAccount(name, SectionValues(aTree, section->mName));
  }
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Rollout)) {
    const std::string& name = section->mName.mPath;
    settings.mRollouts[name] =
      BuildRollout(name, SectionValues(aTree, section->mName));
  }
  for (const TreeSection* section :
       FindLeafSections(aTree, SectionKind::Objective)) {
    settings.mObjectives.push_back(
      BuildObjective(SectionValues(aTree, section->mName)));
  }
  return settings;
}

} // namespace Acaciavale
