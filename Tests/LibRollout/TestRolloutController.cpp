#include <Acaciavale/LibRollout/RolloutController.h>
#include <Acaciavale/LibRollout/RolloutRecord.h>

#include <LibPlatform/FakeKeyValueStore.h>

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

using namespace std::chrono_literals;

/// State shared by all controllers of a test: engines, evidence and the clock.
struct RolloutFixture
{
  FakeKeyValueStore mStore;
  TimePoint mNow{};
  std::shared_ptr<Settings> mSettings = std::make_shared<Settings>();
  std::vector<RolloutEndpoint> mEngines;
  EvidenceCell mOldEvidence;
  EvidenceCell mNewEvidence;
  std::vector<RolloutOrder> mOrders;
  std::vector<RolloutView> mViews;
  bool mExecutesOrders = true; ///< Whether engines execute their orders.

  RolloutFixture()
  {
    RolloutSettings rollout;
    rollout.mName = "better";
    rollout.mModel = "summary";
    rollout.mFrom = "v1";
    rollout.mTo = "v2";
    rollout.mSteps = { 0.1, 0.5 };
    mSettings->mRollouts["better"] = rollout;
    ModelSettings model;
    model.mName = "summary";
    model.mVersions.resize(2);
    model.mVersions[0].mName = "v1";
    model.mVersions[1].mName = "v2";
    mSettings->mModels["summary"] = model;
    for (int index = 0; index < 4; ++index) {
      RolloutEndpoint engine;
      engine.mName = "engine-" + std::to_string(index);
      engine.mLoaded = { { "summary", "v1" } };
      engine.mChecksFencing = index != 0;
      mEngines.push_back(engine);
    }
  }

  RolloutSettings& Rollout() { return mSettings->mRollouts["better"]; }

  void SetState(std::size_t aVersion, VersionState aState)
  {
    mSettings->mModels["summary"].mVersions[aVersion].mState = aState;
  }

  ErrorOr<void> ExecuteOrder(const RolloutOrder& aOrder)
  {
    mOrders.push_back(aOrder);
    for (RolloutEndpoint& engine : mEngines) {
      if (engine.mName != aOrder.mEndpoint || !mExecutesOrders) {
        continue;
      }
      const LoadedVersion version{ aOrder.mModel, aOrder.mVersion };
      if (aOrder.mKind == RolloutOrderKind::Load) {
        engine.mLoaded.push_back(version);
      } else if (aOrder.mKind == RolloutOrderKind::Unload) {
        std::erase(engine.mLoaded, version);
      }
    }
    return {};
  }

  std::unique_ptr<RolloutController> MakeController(const std::string& aHolder)
  {
    RolloutCallbacks callbacks;
    callbacks.mSettings = [this] { return mSettings; };
    callbacks.mTotalEvidence = [this](const std::string&,
                                      const std::string& aVersion) {
      return aVersion == "v1" ? mOldEvidence : mNewEvidence;
    };
    callbacks.mEndpoints = [this] { return mEngines; };
    callbacks.mSendOrder = [this](const RolloutOrder& aOrder) {
      return ExecuteOrder(aOrder);
    };
    callbacks.mOnViews = [this](const std::vector<RolloutView>& aViews) {
      mViews = aViews;
    };
    callbacks.mNow = [this] { return mNow; };
    RolloutControllerOptions options;
    options.mHolder = aHolder;
    return std::make_unique<RolloutController>(
      options, callbacks, mStore.Store(), aHolder.size());
  }

  RolloutProgress Record()
  {
    return *ParseProgress((*mStore.Store().mRead("rollouts/better"))->mValue);
  }

  void AddAnswers(double aCount, double aNewErrors)
  {
    mOldEvidence.mAnswers += aCount * 9;
    mOldEvidence.mErrors += aCount * 0.09;
    mNewEvidence.mAnswers += aCount;
    mNewEvidence.mErrors += aNewErrors;
  }

  void RunSteps(RolloutController& aController, int aCount)
  {
    for (int step = 0; step < aCount; ++step) {
      mNow += 1s;
      aController.Step();
    }
  }

  std::size_t CountLoadedEngines() const
  {
    return static_cast<std::size_t>(std::count_if(
      mEngines.begin(), mEngines.end(), [](const RolloutEndpoint& aEngine) {
        return aEngine.mLoaded.size() > 1;
      }));
  }
};

} // namespace

TEST_GROUP(RolloutController){};

TEST(RolloutController, GoodVersionPassesAllStepsAndCompletes)
{
  RolloutFixture fixture;
  const auto controller = fixture.MakeController("vm-1");
  fixture.RunSteps(*controller, 3);
  DOUBLES_EQUAL(0.1, fixture.mViews.at(0).mShare, 1e-9);
  for (int round = 0; round < 8; ++round) {
    fixture.AddAnswers(300, 3);
    fixture.RunSteps(*controller, 2);
  }
  CHECK(fixture.Record().mPhase == RolloutPhase::Done);
  DOUBLES_EQUAL(1.0, fixture.mViews.at(0).mShare, 1e-9);
  LONGS_EQUAL(4, fixture.CountLoadedEngines());
}

TEST(RolloutController, BadVersionIsHaltedWithoutChangingSettings)
{
  RolloutFixture fixture;
  const auto controller = fixture.MakeController("vm-1");
  fixture.AddAnswers(1000, 0);
  fixture.RunSteps(*controller, 3);
  const Settings before = *fixture.mSettings;
  fixture.AddAnswers(60, 20);
  fixture.RunSteps(*controller, 1);
  CHECK(fixture.Record().mPhase == RolloutPhase::Halted);
  CHECK(fixture.mViews.at(0).mHalted);
  CHECK(*fixture.mSettings == before);
  fixture.RunSteps(*controller, 20);
  CHECK(fixture.Record().mPhase == RolloutPhase::Halted);
  CHECK(ResumeRollout(fixture.mStore.Store(), "better", "n").has_value());
  fixture.RunSteps(*controller, 1);
  CHECK(fixture.Record().mPhase == RolloutPhase::Running);
  LONGS_EQUAL(2, fixture.Record().mFence);
}

TEST(RolloutController, AnotherVmTakesOverAtTheSameStep)
{
  RolloutFixture fixture;
  const auto first = fixture.MakeController("vm-1");
  fixture.RunSteps(*first, 5);
  for (int round = 0; round < 2; ++round) {
    fixture.AddAnswers(300, 3);
    fixture.RunSteps(*first, 2);
  }
  const RolloutProgress before = fixture.Record();
  LONGS_EQUAL(1, before.mStep);
  const auto second = fixture.MakeController("vm-22");
  fixture.RunSteps(*second, 9);
  CHECK(fixture.Record().mHolder == "vm-1");
  fixture.RunSteps(*second, 3);
  CHECK(fixture.Record().mHolder == "vm-22");
  LONGS_EQUAL(before.mFence + 1, fixture.Record().mFence);
  LONGS_EQUAL(before.mStep, fixture.Record().mStep);
}

TEST(RolloutController, FormerHolderWritesNoRecordAndSendsNoOrders)
{
  RolloutFixture fixture;
  const auto first = fixture.MakeController("vm-1");
  const auto second = fixture.MakeController("vm-22");
  fixture.mEngines[1].mSlotUtilization = 1;
  fixture.mEngines[2].mSlotUtilization = 1;
  fixture.mEngines[3].mSlotUtilization = 1;
  fixture.RunSteps(*first, 1);
  fixture.RunSteps(*second, 12);
  const std::string record =
    (*fixture.mStore.Store().mRead("rollouts/better"))->mValue;
  fixture.mOrders.clear();
  first->Step();
  CHECK((*fixture.mStore.Store().mRead("rollouts/better"))->mValue == record);
  CHECK(fixture.mOrders.empty());
}

TEST(RolloutController,
     EnginesWithoutFencingGetOrdersOnlyAfterTheWaitForTheOldHolder)
{
  RolloutFixture fixture;
  fixture.mExecutesOrders = false;
  const auto first = fixture.MakeController("vm-1");
  fixture.RunSteps(*first, 1);
  const auto second = fixture.MakeController("vm-22");
  fixture.RunSteps(*second, 12);
  fixture.mOrders.clear();
  fixture.RunSteps(*second, 38);
  for (const RolloutOrder& order : fixture.mOrders) {
    CHECK(order.mEndpoint != "engine-0");
    LONGS_EQUAL(2, order.mFence);
  }
  CHECK(!fixture.mOrders.empty());
  fixture.mExecutesOrders = true;
  fixture.mEngines[1].mSlotUtilization = 1;
  fixture.mEngines[2].mSlotUtilization = 1;
  fixture.mEngines[3].mSlotUtilization = 1;
  fixture.RunSteps(*second, 40);
  CHECK(fixture.mEngines[0].mLoaded.size() == 2);
}

TEST(RolloutController, EnginesLoadOneAtATimeAndOnlyBelowTheUtilizationLimit)
{
  RolloutFixture fixture;
  fixture.mExecutesOrders = false;
  fixture.mEngines[0].mSlotUtilization = 0.9;
  fixture.mEngines[1].mSlotUtilization = 0.9;
  fixture.mEngines[2].mSlotUtilization = 0.5;
  const auto controller = fixture.MakeController("vm-1");
  fixture.RunSteps(*controller, 10);
  LONGS_EQUAL(1, fixture.mOrders.size());
  CHECK(fixture.mOrders[0].mEndpoint == "engine-3");
  // NOTE: The engine still does not report the version, so the same order is
  //       sent again.
  fixture.RunSteps(*controller, 31);
  LONGS_EQUAL(2, fixture.mOrders.size());
  CHECK(fixture.mOrders[1] == fixture.mOrders[0]);
}

TEST(RolloutController, EnginesThatLoseTheVersionAreOrderedToLoadItAgain)
{
  RolloutFixture fixture;
  const auto controller = fixture.MakeController("vm-1");
  fixture.RunSteps(*controller, 5);
  LONGS_EQUAL(2, fixture.CountLoadedEngines());
  for (RolloutEndpoint& engine : fixture.mEngines) {
    engine.mLoaded = { { "summary", "v1" } };
  }
  fixture.RunSteps(*controller, 40);
  LONGS_EQUAL(2, fixture.CountLoadedEngines());
}

TEST(RolloutController, PausedRolloutKeepsItsStepButHaltsABadVersion)
{
  RolloutFixture fixture;
  const auto controller = fixture.MakeController("vm-1");
  fixture.RunSteps(*controller, 5);
  fixture.Rollout().mPaused = true;
  fixture.AddAnswers(1000, 10);
  fixture.RunSteps(*controller, 5);
  CHECK(fixture.Record().mPhase == RolloutPhase::Paused);
  LONGS_EQUAL(0, fixture.Record().mStep);
  fixture.AddAnswers(60, 30);
  fixture.RunSteps(*controller, 1);
  CHECK(fixture.Record().mPhase == RolloutPhase::Halted);
}

TEST(RolloutController, StoreOutageStopsProgressAndOrders)
{
  RolloutFixture fixture;
  fixture.mExecutesOrders = false;
  const auto controller = fixture.MakeController("vm-1");
  fixture.RunSteps(*controller, 1);
  fixture.mOrders.clear();
  fixture.mStore.SetDown(true);
  fixture.AddAnswers(1000, 10);
  fixture.RunSteps(*controller, 60);
  CHECK(fixture.mOrders.empty());
  fixture.mStore.SetDown(false);
  fixture.RunSteps(*controller, 2);
  CHECK(fixture.Record().mHolder == "vm-1");
}

TEST(RolloutController, WriteWithALostResponseIsResolved)
{
  RolloutFixture fixture;
  const auto controller = fixture.MakeController("vm-1");
  FakeStoreFaults faults;
  faults.mLoseAnswers = 1;
  fixture.mStore.SetFaults(faults);
  fixture.RunSteps(*controller, 2);
  CHECK(fixture.Record().mHolder == "vm-1");
  LONGS_EQUAL(1, fixture.Record().mFence);
}

TEST(RolloutController, WithdrawnVersionIsUnloadedAndRetiringVersionStaysLoaded)
{
  RolloutFixture fixture;
  const auto controller = fixture.MakeController("vm-1");
  fixture.RunSteps(*controller, 5);
  fixture.SetState(1, VersionState::Retiring);
  fixture.RunSteps(*controller, 5);
  CHECK(fixture.Record().mPhase == RolloutPhase::Halted);
  LONGS_EQUAL(2, fixture.CountLoadedEngines());
  fixture.SetState(1, VersionState::Withdrawn);
  fixture.RunSteps(*controller, 70);
  LONGS_EQUAL(0, fixture.CountLoadedEngines());
}

TEST(RolloutController, ProgressRoundTripsAndMalformedRecordIsRejected)
{
  RolloutProgress progress;
  progress.mName = "better";
  progress.mPhase = RolloutPhase::Halted;
  progress.mStep = 2;
  progress.mFence = 7;
  progress.mBaseline.mAnswers = 12.5;
  CHECK(*ParseProgress(SerializeProgress(progress, "n")) == progress);
  CHECK(!ParseProgress("{}"));
  CHECK(!ParseProgress("[1"));
}
