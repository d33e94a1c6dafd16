#include "RoutingFixture.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::RoutingFixture;

namespace {

const std::vector<RolloutView> kNoRollouts;
const EvidenceView kNoEvidence;

VersionDecision Choose(const RequestProfile& aProfile,
                       const Settings& aSettings,
                       const EvidenceView& aEvidence = kNoEvidence,
                       const std::vector<RolloutView>& aRollouts = kNoRollouts,
                       std::uint64_t aSeed = 1)
{
  Random random(aSeed);
  const VersionView view{ aSettings, aEvidence, aRollouts, AllLoaded() };
  return ChooseVersion(aProfile, view, random);
}

EvidenceCell Rated(double aGood, double aRated)
{
  EvidenceCell cell;
  cell.mGood = aGood;
  cell.mRated = aRated;
  cell.mAnswers = aRated;
  return cell;
}

} // namespace

TEST_GROUP(VersionChoice){};

TEST(VersionChoice, SelectsTheCheapestVersionThatMeetsTheTarget)
{
  const VersionDecision decision = Choose(Profile("large"), MakeSettings());
  CHECK(decision.mStages == (std::vector<CascadeStage>{ { "large", "2" } }));
}

TEST(VersionChoice, EvidenceQualifiesTheCheapModelForItsKindOnly)
{
  const EvidenceView evidence{ { { "small", "1", "check" },
                                 Rated(980, 1000) } };
  RequestProfile profile = Profile("both");
  profile.mKind = "check";
  CHECK(Choose(profile, MakeSettings(), evidence).mStages ==
        (std::vector<CascadeStage>{ { "small", "1" } }));
  profile.mKind = "summary";
  CHECK(Choose(profile, MakeSettings(), evidence).mStages.back().mModel ==
        "large");
}

TEST(VersionChoice, ShortDeadlineExcludesCascades)
{
  RequestProfile profile = Profile("both");
  profile.mTimeLeft = std::chrono::milliseconds(300);
  CHECK(Choose(profile, MakeSettings()).mStages ==
        (std::vector<CascadeStage>{ { "large", "2" } }));
}

TEST(VersionChoice, RefusalNamesTheExclusionClosestToEligible)
{
  RequestProfile profile = Profile("large");
  profile.mTimeLeft = std::chrono::milliseconds(10);
  const VersionDecision decision = Choose(profile, MakeSettings());
  CHECK(decision.mStages.empty());
  STRCMP_CONTAINS("too slow", decision.mReason.c_str());
}

TEST(VersionChoice, AnswersBelowTheTargetOnlyIfAllowed)
{
  RequestProfile profile = Profile("small");
  CHECK(Choose(profile, MakeSettings()).mStages.size() == 1);
  profile.mAcceptBelowTarget = false;
  CHECK(Choose(profile, MakeSettings()).mStages.empty());
}

TEST(VersionChoice, SessionKeepsRetiringButNotWithdrawnVersions)
{
  Settings settings = MakeSettings();
  RequestProfile profile = Profile("large");
  profile.mSessionVersions = { { "large", "1" } };
  VersionSettings& pinned = settings.mModels["large"].mVersions[0];
  pinned.mState = VersionState::Retiring;
  CHECK(Choose(profile, settings).mStages ==
        (std::vector<CascadeStage>{ { "large", "1" } }));
  pinned.mState = VersionState::Withdrawn;
  CHECK(Choose(profile, settings).mStages ==
        (std::vector<CascadeStage>{ { "large", "2" } }));
}

TEST(VersionChoice, RolloutServesItsShareOfNewSessionsUnlessHalted)
{
  const std::vector<RolloutView> rollouts{ { "large", "2", "1", 0.1, false } };
  RequestProfile profile = Profile("large");
  profile.mRolloutPosition = 0.05;
  CHECK(Choose(profile, MakeSettings(), kNoEvidence, rollouts).mStages ==
        (std::vector<CascadeStage>{ { "large", "1" } }));
  profile.mRolloutPosition = 0.1;
  CHECK(Choose(profile, MakeSettings(), kNoEvidence, rollouts).mStages ==
        (std::vector<CascadeStage>{ { "large", "2" } }));
  const std::vector<RolloutView> halted{ { "large", "2", "1", 0.1, true } };
  profile.mRolloutPosition = 0.05;
  CHECK(Choose(profile, MakeSettings(), kNoEvidence, halted).mStages ==
        (std::vector<CascadeStage>{ { "large", "2" } }));
}

TEST(VersionChoice, SelectsOnlyVersionsThatTheSettingsPermit)
{
  CHECK(rc::check([] {
    Settings settings = MakeSettings();
    ClientAccountSettings& account = settings.mAccounts["records"];
    for (const CascadeStage& stage : AllLoaded()) {
      if (*rc::gen::arbitrary<bool>()) {
        account.mVersions.push_back(stage.mModel + "/" + stage.mVersion);
      }
    }
    for (auto& [name, model] : settings.mModels) {
      for (VersionSettings& version : model.mVersions) {
        version.mState = *rc::gen::element(VersionState::Serving,
                                           VersionState::Retiring,
                                           VersionState::Withdrawn);
      }
    }
    RequestProfile profile =
      Profile(*rc::gen::element<std::string>("small", "large", "both"));
    profile.mRolloutPosition = *rc::gen::inRange(0, 100) / 100.0;
    if (*rc::gen::arbitrary<bool>()) {
      profile.mSessionVersions = { *rc::gen::elementOf(AllLoaded()) };
    }
    const std::vector<RolloutView> rollouts{
      { "small", "1", "2", 0.5, *rc::gen::arbitrary<bool>() }
    };
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const VersionDecision decision =
      Choose(profile, settings, kNoEvidence, rollouts, seed);
    for (const CascadeStage& stage : decision.mStages) {
      const std::string name = stage.mModel + "/" + stage.mVersion;
      const auto& allowed = account.mVersions;
      RC_ASSERT(allowed.empty() ||
                std::find(allowed.begin(), allowed.end(), name) !=
                  allowed.end());
      const VersionSettings* version =
        FindVersion(settings, stage.mModel, stage.mVersion);
      RC_ASSERT(version->mState != VersionState::Withdrawn);
      RC_ASSERT(CheckDispatch(profile, settings, stage) == Exclusion::None);
      const bool isPinned = profile.mSessionVersions.size() == 1 &&
                            profile.mSessionVersions.front() == stage;
      RC_ASSERT(isPinned || !rollouts[0].mHalted || name != "small/2");
    }
    RC_ASSERT(decision ==
              Choose(profile, settings, kNoEvidence, rollouts, seed));
  }));
}

TEST(VersionChoice, ExplorationGrowsWithRatingsAndStopsBelowTargetOrOverBudget)
{
  Settings settings = MakeSettings();
  for (VersionSettings& version : settings.mModels["small"].mVersions) {
    version.mPriorQuality = 0.85;
    version.mPriorWeight = 20;
  }
  const auto countTrials = [&](const EvidenceView& aEvidence) {
    int count = 0;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      const VersionDecision decision =
        Choose(Profile("both"), settings, aEvidence, kNoRollouts, seed);
      count += decision.mStages.front() == CascadeStage{ "small", "1" } &&
               decision.mStages.size() == 1;
    }
    return count;
  };
  const int unratedTrials = countTrials({});
  CHECK(unratedTrials > 0 && unratedTrials < 150);
  const EvidenceView promising{ { { "small", "1", "summary" },
                                  Rated(27, 30) } };
  CHECK(countTrials(promising) > 900);
  const EvidenceView belowTarget{ { { "small", "1", "summary" },
                                    Rated(100, 200) } };
  LONGS_EQUAL(0, countTrials(belowTarget));
  const EvidenceView overBudget{ { { "small", "1", "summary" },
                                   Rated(3172, 4000) } };
  LONGS_EQUAL(0, countTrials(overBudget));
}

TEST(VersionChoice, UrgentRequestsAreNotExplored)
{
  const EvidenceView evidence{ { { "small", "1", "summary" }, Rated(27, 30) } };
  RequestProfile profile = Profile("both");
  profile.mPriority = Priority::Urgent;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const VersionDecision decision =
      Choose(profile, MakeSettings(), evidence, kNoRollouts, seed);
    CHECK(decision.mStages == (std::vector<CascadeStage>{ { "large", "2" } }));
  }
}
