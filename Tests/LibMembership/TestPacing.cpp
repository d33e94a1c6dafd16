#include "Tables.h"

#include <LibMembership/DigestCodec.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

EvidenceView ManyCells(std::size_t aCells)
{
  EvidenceView view;
  for (std::size_t index = 0; index < aCells; ++index) {
    EvidenceCell cell;
    cell.mRated = 3;
    cell.mGood = 2;
    cell.mAnswers = 30;
    cell.mErrors = 1;
    cell.mFirstTokenSeconds = 12.5;
    cell.mOutputTokens = 4000;
    view[{ "dossier-model", "v1", std::to_string(index) }] = cell;
  }
  return view;
}

} // namespace

TEST_GROUP(Pacing){};

TEST(Pacing, OneVmStaysWithinItsBytesAtAnyFleetSize)
{
  const MembershipOptions options;
  for (const std::size_t size : { 1, 2, 8, 40, 100, 330, 1000 }) {
    TableFleet fleet(size);
    EvidenceRumours rumours;
    std::int64_t bytes = 0;
    // Stands for the evidence of all VMs, each told kEvidenceTells times.
    const int perVm = kEvidenceTells * static_cast<int>(size);
    const RoundPlan plan = PlanRound(options, size);
    const auto rounds =
      static_cast<int>(std::chrono::seconds(60) / plan.mPeriod);
    Duration sinceEvidence{};
    std::size_t evidenceBytes = 0;
    for (int round = 0; round < rounds; ++round) {
      sinceEvidence += plan.mPeriod;
      if (sinceEvidence >= EvidencePeriod(options, size, evidenceBytes)) {
        sinceEvidence = {};
        evidenceBytes = AddOwnEvidence(rumours, 1, ManyCells(6), perVm);
      }
      // NOTE: Requests and, on average, as many answers.
      for (std::size_t message = 0; message < 2 * plan.mFanOut; ++message) {
        Digest digest{
          1, ChooseRows(fleet.mTables[0], plan.mRows), {}, {}, {}
        };
        const auto room =
          plan.mMessageBytes -
          static_cast<std::int64_t>(digest.mRows.size()) * kRowBytes;
        if (room > 0) {
          digest.mEvidence =
            ChooseRumours(rumours, static_cast<std::size_t>(room));
        }
        bytes += static_cast<std::int64_t>(SerializeDigest(digest).size()) +
                 kCallOverheadBytes;
      }
      BeatSelf(fleet.mTables[0], fleet.mStates[0], false, TimePoint{});
    }
    printf("%zu bytes/s %f ev period %f\n",
           size,
           bytes / 60.0,
           std::chrono::duration<double>(
             EvidencePeriod(options, size, evidenceBytes))
             .count());
    CHECK(bytes <= options.mBytesPerSecond * 60);
  }
}

TEST(Pacing, TheStoreIsUsedLessOftenByEachInALargerFleet)
{
  const MembershipOptions options;
  for (const std::size_t size : { 8, 330, 1000 }) {
    const double users =
      static_cast<double>(size) /
      std::chrono::duration<double>(StorePeriod(options, size)).count();
    CHECK(users <= 10.01);
  }
}
