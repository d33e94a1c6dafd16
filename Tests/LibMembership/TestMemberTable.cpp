#include "Tables.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr FailureTimes kTimes{ std::chrono::seconds(1),
                               std::chrono::seconds(5) };
const TimePoint kStart{};

ShortId IdOf(std::size_t aIndex)
{
  const VmState state = FleetVm(aIndex);
  return ShortIdOf(state.mName, state.mIncarnation);
}

/// VM 0's table, which knows VM 1.
MemberTable TableOfTwo()
{
  MemberTable table;
  BeatSelf(table, FleetVm(0), false, kStart);
  AddSeed(table, FleetVm(1), kStart);
  return table;
}

DigestRow Row(std::uint64_t aHeartbeat)
{
  DigestRow row;
  row.mId = IdOf(1);
  row.mHeartbeat = aHeartbeat;
  return row;
}

void Tell(MemberTable& aTable, const DigestRow& aRow, TimePoint aNow)
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
  CHECK(JudgeHealth(table, kTimes, kStart).empty());
  CHECK(JudgeHealth(table, kTimes, kStart + std::chrono::seconds(2)).empty());
  CHECK(Peer(table).mHealth == VmHealth::Suspect);
  Tell(table, Row(1), kStart + std::chrono::seconds(2));
  CHECK(Peer(table).mHealth == VmHealth::Alive);
  LONGS_EQUAL(
    1, JudgeHealth(table, kTimes, kStart + std::chrono::seconds(8)).size());
  CHECK(Peer(table).mHealth == VmHealth::Dead);
}

TEST(MemberTable, AFlappingVmIsReportedDeadOnce)
{
  MemberTable table = TableOfTwo();
  TimePoint now = kStart;
  std::size_t reported = 0;
  for (std::uint64_t beat = 1; beat <= 10; ++beat) {
    now += std::chrono::seconds(6);
    reported += JudgeHealth(table, kTimes, now).size();
    Tell(table, Row(beat), now);
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
  Tell(table, newer, kStart);
  const VmState known = Peer(table).mState;
  Tell(table, Row(6), kStart + std::chrono::seconds(1));
  Tell(table, Row(7), kStart + std::chrono::seconds(1));
  CHECK(Peer(table).mState == known);
  CHECK(Peer(table).mLastProgress == kStart);
}

TEST(MemberTable, GenerationsNeverGoBack)
{
  MemberTable table = TableOfTwo();
  DigestRow row = Row(1);
  row.mSettingsGeneration = 12;
  Tell(table, row, kStart);
  row = Row(2);
  row.mSettingsGeneration = 3;
  Tell(table, row, kStart);
  LONGS_EQUAL(12, Peer(table).mState.mSettingsGeneration);
}

TEST(MemberTable, AVmThatLeftIsDeadAtOnceAndNotAskedAgain)
{
  MemberTable table = TableOfTwo();
  DigestRow row = Row(1);
  row.mLeft = true;
  Tell(table, row, kStart);
  LONGS_EQUAL(1, JudgeHealth(table, kTimes, kStart).size());
  CHECK(LivePeers(table).empty());
  Random random(1);
  CHECK(!DrawDeadPeer(table, random));
}

TEST(MemberTable, AnOwnPauseIsNotHeldAgainstTheOthers)
{
  MemberTable table = TableOfTwo();
  ForgiveSilence(table, std::chrono::seconds(30));
  CHECK(JudgeHealth(table, kTimes, kStart + std::chrono::seconds(30)).empty());
  CHECK(Peer(table).mHealth == VmHealth::Alive);
}

TEST(MemberTable, ANewIncarnationReplacesTheOwnRecord)
{
  MemberTable table = TableOfTwo();
  VmState self = FleetVm(0);
  self.mIncarnation = "second";
  BeatSelf(table, self, false, kStart);
  LONGS_EQUAL(2, table.mRecords.size());
  CHECK(table.mSelf == ShortIdOf("vm-0", "second"));
}

TEST(MemberTable, UnknownIdsAreAskedForAndDescribed)
{
  MemberTable left = TableOfTwo();
  MemberTable right;
  BeatSelf(right, FleetVm(2), false, kStart);
  const MergeOutcome outcome = MergeDigest(
    right, { left.mSelf, ChooseRows(left, 10), {}, {}, {} }, kStart);
  LONGS_EQUAL(2, outcome.mUnknown.size());
  const Digest described{
    left.mSelf, {}, Describe(left, outcome.mUnknown), {}, {}
  };
  MergeDigest(right, described, kStart);
  LONGS_EQUAL(3, right.mRecords.size());
  LONGS_EQUAL(2, LivePeers(right).size());
}

TEST(MemberTable, EveryRowIsToldInTurnWhateverTheRoom)
{
  TableFleet fleet(50);
  std::set<ShortId> told;
  for (int digest = 0; digest < 60; ++digest) {
    for (const DigestRow& row : ChooseRows(fleet.mTables[0], 8)) {
      told.insert(row.mId);
    }
  }
  LONGS_EQUAL(50, told.size());
}

TEST(MemberTable, NobodyIsTakenForDeadInAQuietFleetOfAnySize)
{
  for (const std::size_t size : { 2, 8, 40, 330 }) {
    TableFleet fleet(size);
    const Duration dead = ScaledTimes(fleet.mOptions, size).mDeadAfter;
    while (fleet.mNow.time_since_epoch() < dead + dead / 2) {
      CHECK(fleet.Round().empty());
    }
  }
}

TEST(MemberTable, ANewGenerationIsKnownToEverybodyWithinThirteenSeconds)
{
  TableFleet fleet(330);
  fleet.Round();
  fleet.mStates[17].mSettingsGeneration = 5;
  const TimePoint changed = fleet.mNow;
  const auto known = [&fleet] {
    // NOTE: Each VM that hears of it fetches the settings and has them.
    for (std::size_t index = 0; index < fleet.mTables.size(); ++index) {
      for (const Member& member : MembersOf(fleet.mTables[index])) {
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
  while (!known() && fleet.mNow - changed < std::chrono::seconds(13)) {
    fleet.Round();
  }
  CHECK(known());
}

TEST(MemberTable, ACrashIsNoticedByEverybodyOnce)
{
  TableFleet fleet(40);
  fleet.Round();
  fleet.mStopped.insert(3);
  std::size_t noticed = 0;
  for (int round = 0; round < 60; ++round) {
    for (const Incarnation& incarnation : fleet.Round()) {
      CHECK(incarnation.mVm == "vm-3");
      ++noticed;
    }
  }
  LONGS_EQUAL(39, noticed);
}

TEST(MemberTable, BothSidesOfAPartitionFindEachOtherAgain)
{
  TableFleet fleet(12);
  fleet.Round();
  fleet.mReach = [](std::size_t aLeft, std::size_t aRight) {
    return (aLeft < 6) == (aRight < 6);
  };
  for (int round = 0; round < 60; ++round) {
    fleet.Round();
  }
  LONGS_EQUAL(5, LivePeers(fleet.mTables[0]).size());
  LONGS_EQUAL(5, LivePeers(fleet.mTables[11]).size());
  fleet.mReach = [](std::size_t, std::size_t) { return true; };
  for (int round = 0; round < 60; ++round) {
    CHECK(fleet.Round().empty());
  }
  for (const MemberTable& table : fleet.mTables) {
    LONGS_EQUAL(11, LivePeers(table).size());
  }
}
