#include "SimulatedFleet.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr FailureTimes kTimes{ std::chrono::seconds(1),
                               std::chrono::seconds(5) };
const TimePoint kStart{};

ShortId IdOf(std::size_t aIndex)
{
  const VmState state = SimulatedVm(aIndex);
  return ShortIdOf(state.mName, state.mIncarnation);
}

/// The table of VM 0 with a record of VM 1.
MemberTable TableOfTwo()
{
  MemberTable table;
  UpdateSelf(table, SimulatedVm(0), false, kStart);
  AddSeed(table, SimulatedVm(1), kStart);
  return table;
}

DigestRow Row(std::uint64_t aHeartbeat)
{
  DigestRow row;
  row.mId = IdOf(1);
  row.mHeartbeat = aHeartbeat;
  return row;
}

void MergeRow(MemberTable& aTable, const DigestRow& aRow, TimePoint aNow)
{
  MergeDigest(aTable, { IdOf(1), { aRow }, {}, {}, {} }, aNow);
}

const MemberRecord& Peer(const MemberTable& aTable)
{
  return aTable.mRecords.at(IdOf(1));
}

} // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, SilenceMakesAVmSuspectAndThenDead)
{
  MemberTable table = TableOfTwo();
  CHECK(UpdateHealth(table, kTimes, kStart).empty());
  CHECK(UpdateHealth(table, kTimes, kStart + std::chrono::seconds(2)).empty());
  CHECK(Peer(table).mHealth == VmHealth::Suspect);
  MergeRow(table, Row(1), kStart + std::chrono::seconds(2));
  CHECK(Peer(table).mHealth == VmHealth::Alive);
  LONGS_EQUAL(
    1, UpdateHealth(table, kTimes, kStart + std::chrono::seconds(8)).size());
  CHECK(Peer(table).mHealth == VmHealth::Dead);
}

TEST(MemberTable, FlappingVmIsReportedDeadOnce)
{
  MemberTable table = TableOfTwo();
  TimePoint now = kStart;
  std::size_t reported = 0;
  for (std::uint64_t beat = 1; beat <= 10; ++beat) {
    now += std::chrono::seconds(6);
    reported += UpdateHealth(table, kTimes, now).size();
    MergeRow(table, Row(beat), now);
    CHECK(Peer(table).mHealth == VmHealth::Alive);
  }
  LONGS_EQUAL(1, reported);
}

TEST(MemberTable, LateAndRepeatedDigestsChangeNothing)
{
  MemberTable table = TableOfTwo();
  DigestRow newer = Row(7);
  newer.mDraining = true;
  newer.mSettingsGeneration = 12;
  MergeRow(table, newer, kStart);
  const VmState stateBefore = Peer(table).mState;
  MergeRow(table, Row(6), kStart + std::chrono::seconds(1));
  MergeRow(table, Row(7), kStart + std::chrono::seconds(1));
  CHECK(Peer(table).mState == stateBefore);
  CHECK(Peer(table).mLastHeartbeatAt == kStart);
}

TEST(MemberTable, GenerationNeverDecreases)
{
  MemberTable table = TableOfTwo();
  DigestRow row = Row(1);
  row.mSettingsGeneration = 12;
  MergeRow(table, row, kStart);
  row = Row(2);
  row.mSettingsGeneration = 3;
  MergeRow(table, row, kStart);
  LONGS_EQUAL(12, Peer(table).mState.mSettingsGeneration);
}

TEST(MemberTable, VmThatLeftIsDeadAtOnceAndNotContactedAgain)
{
  MemberTable table = TableOfTwo();
  DigestRow row = Row(1);
  row.mLeft = true;
  MergeRow(table, row, kStart);
  LONGS_EQUAL(1, UpdateHealth(table, kTimes, kStart).size());
  CHECK(LivePeers(table).empty());
  Random random(1);
  CHECK(!ChooseDeadPeer(table, random));
}

TEST(MemberTable, PauseOfThisProcessDoesNotMakePeersSuspect)
{
  MemberTable table = TableOfTwo();
  DiscountPause(table, std::chrono::seconds(30));
  CHECK(UpdateHealth(table, kTimes, kStart + std::chrono::seconds(30)).empty());
  CHECK(Peer(table).mHealth == VmHealth::Alive);
}

TEST(MemberTable, NewIncarnationReplacesTheOldRecordOfThisVm)
{
  MemberTable table = TableOfTwo();
  VmState self = SimulatedVm(0);
  self.mIncarnation = "second";
  UpdateSelf(table, self, false, kStart);
  LONGS_EQUAL(2, table.mRecords.size());
  CHECK(table.mSelfId == ShortIdOf("vm-0", "second"));
}

TEST(MemberTable, UnknownIdsAreReportedAndThenDescribed)
{
  MemberTable left = TableOfTwo();
  MemberTable right;
  UpdateSelf(right, SimulatedVm(2), false, kStart);
  const MergeOutcome outcome = MergeDigest(
    right, { left.mSelfId, ChooseRows(left, 10), {}, {}, {} }, kStart);
  LONGS_EQUAL(2, outcome.mUnknownIds.size());
  const Digest described{
    left.mSelfId, {}, DescribeVms(left, outcome.mUnknownIds), {}, {}
  };
  MergeDigest(right, described, kStart);
  LONGS_EQUAL(3, right.mRecords.size());
  LONGS_EQUAL(2, LivePeers(right).size());
}

TEST(MemberTable, EveryRowIsSentInTurnWhenDigestsAreShort)
{
  SimulatedFleet fleet(50);
  std::set<ShortId> rowIds;
  for (int digest = 0; digest < 60; ++digest) {
    for (const DigestRow& row : ChooseRows(fleet.mTables[0], 8)) {
      rowIds.insert(row.mId);
    }
  }
  LONGS_EQUAL(50, rowIds.size());
}

TEST(MemberTable, NoVmIsDeclaredDeadInAHealthyFleetOfAnySize)
{
  for (const std::size_t size : { 2, 8, 40, 330 }) {
    SimulatedFleet fleet(size);
    const Duration dead = ScaledFailureTimes(fleet.mOptions, size).mDeadAfter;
    while (fleet.mNow.time_since_epoch() < dead + dead / 2) {
      CHECK(fleet.RunRound().empty());
    }
  }
}

TEST(MemberTable, NewGenerationReachesEveryVmWithinThirteenSeconds)
{
  SimulatedFleet fleet(330);
  fleet.RunRound();
  fleet.mStates[17].mSettingsGeneration = 5;
  const TimePoint changed = fleet.mNow;
  const auto allHaveGeneration = [&fleet] {
    // NOTE: Each VM that receives the new generation fetches and applies it.
    for (std::size_t index = 0; index < fleet.mTables.size(); ++index) {
      for (const Member& member : ListMembers(fleet.mTables[index])) {
        fleet.mStates[index].mSettingsGeneration =
          std::max(fleet.mStates[index].mSettingsGeneration,
                   member.mState.mSettingsGeneration);
      }
    }
    return std::all_of(
      fleet.mStates.begin(), fleet.mStates.end(), [](const VmState& aState) {
        return aState.mSettingsGeneration == 5;
      });
  };
  while (!allHaveGeneration() &&
         fleet.mNow - changed < std::chrono::seconds(13)) {
    fleet.RunRound();
  }
  CHECK(allHaveGeneration());
}

TEST(MemberTable, EveryPeerReportsACrashOnce)
{
  SimulatedFleet fleet(40);
  fleet.RunRound();
  fleet.mStopped.insert(3);
  std::size_t reported = 0;
  for (int round = 0; round < 60; ++round) {
    for (const Incarnation& incarnation : fleet.RunRound()) {
      CHECK(incarnation.mVm == "vm-3");
      ++reported;
    }
  }
  LONGS_EQUAL(39, reported);
}

TEST(MemberTable, PartitionedHalvesMergeAfterTheNetworkHeals)
{
  SimulatedFleet fleet(12);
  fleet.RunRound();
  fleet.mIsReachable = [](std::size_t aLeft, std::size_t aRight) {
    return (aLeft < 6) == (aRight < 6);
  };
  for (int round = 0; round < 60; ++round) {
    fleet.RunRound();
  }
  LONGS_EQUAL(5, LivePeers(fleet.mTables[0]).size());
  LONGS_EQUAL(5, LivePeers(fleet.mTables[11]).size());
  fleet.mIsReachable = [](std::size_t, std::size_t) { return true; };
  for (int round = 0; round < 60; ++round) {
    CHECK(fleet.RunRound().empty());
  }
  for (const MemberTable& table : fleet.mTables) {
    LONGS_EQUAL(11, LivePeers(table).size());
  }
}
