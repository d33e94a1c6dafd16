#include <Acaciavale/LibRollout/RolloutController.h>
#include <Acaciavale/LibRollout/RolloutRecord.h>

#include <LibPlatform/FakeKeyValueStore.h>

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

using namespace std::chrono_literals;

/// What all controllers of a test share: engines, evidence and the clock.
struct World
{
  FakeKeyValueStore mStore;
  TimePoint mNow{};
  std::shared_ptr<Settings> mSettings = std::make_shared<Settings>();
  std::vector<RolloutEndpoint> mEngines;
  EvidenceCell mOld;
  EvidenceCell mNew;
  std::vector<RolloutOrder> mOrders;
  std::vector<RolloutView> mViews;
  bool mObey = true; ///< Engines load what they are ordered to.

  World()
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

  ErrorOr<void> Obey(const RolloutOrder& aOrder)
  {
    mOrders.push_back(aOrder);
    for (RolloutEndpoint& engine : mEngines) {
      if (engine.mName != aOrder.mEndpoint || !mObey) {
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

  std::unique_ptr<RolloutController> Controller(const std::string& aHolder)
  {
    RolloutCallbacks callbacks;
    callbacks.mSettings = [this] { return mSettings; };
    callbacks.mTotals = [this](const std::string&,
                               const std::string& aVersion) {
      return aVersion == "v1" ? mOld : mNew;
    };
    callbacks.mEndpoints = [this] { return mEngines; };
    callbacks.mOrder = [this](const RolloutOrder& aOrder) {
      return Obey(aOrder);
    };
    callbacks.mViews = [this](const std::vector<RolloutView>& aViews) {
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
    mOld.mAnswers += aCount * 9;
    mOld.mErrors += aCount * 0.09;
    mNew.mAnswers += aCount;
    mNew.mErrors += aNewErrors;
  }

  void Steps(RolloutController& aController, int aCount)
  {
    for (int step = 0; step < aCount; ++step) {
      mNow += 1s;
      aController.Step();
    }
  }

  std::size_t LoadedEngines() const
  {
    return static_cast<std::size_t>(std::count_if(
      mEngines.begin(), mEngines.end(), [](const RolloutEndpoint& aEngine) {
        return aEngine.mLoaded.size() > 1;
      }));
  }
};

} // namespace

TEST_GROUP(RolloutController){};

TEST(RolloutController, AGoodVersionGoesThroughAllStepsAndIsDone)
{
  World world;
  const auto controller = world.Controller("vm-1");
  world.Steps(*controller, 3);
  DOUBLES_EQUAL(0.1, world.mViews.at(0).mShare, 1e-9);
  for (int round = 0; round < 8; ++round) {
    world.AddAnswers(300, 3);
    world.Steps(*controller, 2);
  }
  CHECK(world.Record().mPhase == RolloutPhase::Done);
  DOUBLES_EQUAL(1.0, world.mViews.at(0).mShare, 1e-9);
  LONGS_EQUAL(4, world.LoadedEngines());
}

TEST(RolloutController, ABadVersionIsHaltedAtOnceAndNoSettingChanges)
{
  World world;
  const auto controller = world.Controller("vm-1");
  world.AddAnswers(1000, 0);
  world.Steps(*controller, 3);
  const Settings before = *world.mSettings;
  world.AddAnswers(60, 20);
  world.Steps(*controller, 1);
  CHECK(world.Record().mPhase == RolloutPhase::Halted);
  CHECK(world.mViews.at(0).mHalted);
  CHECK(*world.mSettings == before);
  world.Steps(*controller, 20);
  CHECK(world.Record().mPhase == RolloutPhase::Halted);
  CHECK(ResumeRollout(world.mStore.Store(), "better", "n").has_value());
  world.Steps(*controller, 1);
  CHECK(world.Record().mPhase == RolloutPhase::Running);
  LONGS_EQUAL(2, world.Record().mFence);
}

TEST(RolloutController, AnotherVmResumesWhereTheFirstWasInterrupted)
{
  World world;
  const auto first = world.Controller("vm-1");
  world.Steps(*first, 5);
  for (int round = 0; round < 2; ++round) {
    world.AddAnswers(300, 3);
    world.Steps(*first, 2);
  }
  const RolloutProgress before = world.Record();
  LONGS_EQUAL(1, before.mStep);
  const auto second = world.Controller("vm-22");
  world.Steps(*second, 9);
  CHECK(world.Record().mHolder == "vm-1");
  world.Steps(*second, 3);
  CHECK(world.Record().mHolder == "vm-22");
  LONGS_EQUAL(before.mFence + 1, world.Record().mFence);
  LONGS_EQUAL(before.mStep, world.Record().mStep);
}

TEST(RolloutController, AWokenHolderWritesNothingAndOrdersNothing)
{
  World world;
  const auto first = world.Controller("vm-1");
  const auto second = world.Controller("vm-22");
  world.mEngines[1].mLoadShare = 1;
  world.mEngines[2].mLoadShare = 1;
  world.mEngines[3].mLoadShare = 1;
  world.Steps(*first, 1);
  world.Steps(*second, 12);
  const std::string record =
    (*world.mStore.Store().mRead("rollouts/better"))->mValue;
  world.mOrders.clear();
  first->Step();
  CHECK((*world.mStore.Store().mRead("rollouts/better"))->mValue == record);
  CHECK(world.mOrders.empty());
}

TEST(RolloutController, EnginesThatIgnoreFencingWaitOutTheOldHolder)
{
  World world;
  world.mObey = false;
  const auto first = world.Controller("vm-1");
  world.Steps(*first, 1);
  const auto second = world.Controller("vm-22");
  world.Steps(*second, 12);
  world.mOrders.clear();
  world.Steps(*second, 38);
  for (const RolloutOrder& order : world.mOrders) {
    CHECK(order.mEndpoint != "engine-0");
    LONGS_EQUAL(2, order.mFence);
  }
  CHECK(!world.mOrders.empty());
  world.mObey = true;
  world.mEngines[1].mLoadShare = 1;
  world.mEngines[2].mLoadShare = 1;
  world.mEngines[3].mLoadShare = 1;
  world.Steps(*second, 40);
  CHECK(world.mEngines[0].mLoaded.size() == 2);
}

TEST(RolloutController, LoadsComeOneAtATimeIntoSpareCapacityOnly)
{
  World world;
  world.mObey = false;
  world.mEngines[0].mLoadShare = 0.9;
  world.mEngines[1].mLoadShare = 0.9;
  world.mEngines[2].mLoadShare = 0.5;
  const auto controller = world.Controller("vm-1");
  world.Steps(*controller, 10);
  LONGS_EQUAL(1, world.mOrders.size());
  CHECK(world.mOrders[0].mEndpoint == "engine-3");
  // NOTE: It still does not report the version: the same order again.
  world.Steps(*controller, 31);
  LONGS_EQUAL(2, world.mOrders.size());
  CHECK(world.mOrders[1] == world.mOrders[0]);
}

TEST(RolloutController, WhatAnEngineReportsCountsAgainAndAgain)
{
  World world;
  const auto controller = world.Controller("vm-1");
  world.Steps(*controller, 5);
  LONGS_EQUAL(2, world.LoadedEngines());
  for (RolloutEndpoint& engine : world.mEngines) {
    engine.mLoaded = { { "summary", "v1" } };
  }
  world.Steps(*controller, 40);
  LONGS_EQUAL(2, world.LoadedEngines());
}

TEST(RolloutController, APauseInTheSettingsHoldsTheStepButABadVersionStillHalts)
{
  World world;
  const auto controller = world.Controller("vm-1");
  world.Steps(*controller, 5);
  world.Rollout().mPaused = true;
  world.AddAnswers(1000, 10);
  world.Steps(*controller, 5);
  CHECK(world.Record().mPhase == RolloutPhase::Paused);
  LONGS_EQUAL(0, world.Record().mStep);
  world.AddAnswers(60, 30);
  world.Steps(*controller, 1);
  CHECK(world.Record().mPhase == RolloutPhase::Halted);
}

TEST(RolloutController, AStoreOutageStopsProgressAndOrders)
{
  World world;
  world.mObey = false;
  const auto controller = world.Controller("vm-1");
  world.Steps(*controller, 1);
  world.mOrders.clear();
  world.mStore.SetDown(true);
  world.AddAnswers(1000, 10);
  world.Steps(*controller, 60);
  CHECK(world.mOrders.empty());
  world.mStore.SetDown(false);
  world.Steps(*controller, 2);
  CHECK(world.Record().mHolder == "vm-1");
}

TEST(RolloutController, ALostAnswerOfAWriteIsFoundOut)
{
  World world;
  const auto controller = world.Controller("vm-1");
  FakeStoreFaults faults;
  faults.mLoseAnswers = 1;
  world.mStore.SetFaults(faults);
  world.Steps(*controller, 2);
  CHECK(world.Record().mHolder == "vm-1");
  LONGS_EQUAL(1, world.Record().mFence);
}

TEST(RolloutController, AWithdrawnVersionIsDrainedAndUnloadedARetiringOneStays)
{
  World world;
  const auto controller = world.Controller("vm-1");
  world.Steps(*controller, 5);
  world.SetState(1, VersionState::Retiring);
  world.Steps(*controller, 5);
  CHECK(world.Record().mPhase == RolloutPhase::Halted);
  LONGS_EQUAL(2, world.LoadedEngines());
  world.SetState(1, VersionState::Withdrawn);
  world.Steps(*controller, 70);
  LONGS_EQUAL(0, world.LoadedEngines());
}

TEST(RolloutController, ARecordSurvivesTheStoreAndABadOneIsRefused)
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
