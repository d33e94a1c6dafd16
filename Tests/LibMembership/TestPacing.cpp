#include "SimulatedFleet.h"

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

TEST(Pacing, ControlTrafficStaysWithinBudgetAtAnyFleetSize)
{
  const MembershipOptions options;
  for (const std::size_t size : { 1, 2, 8, 40, 100, 330, 1000 }) {
    SimulatedFleet fleet(size);
    EvidenceGossip gossip;
    std::int64_t bytes = 0;
    // NOTE: Sending the evidence of one VM this often stands for sending the
    //       evidence of all VMs kEvidenceTransmissions times.
    const int transmissions = kEvidenceTransmissions * static_cast<int>(size);
    const RoundPlan plan = PlanRound(options, size);
    const auto rounds =
      static_cast<int>(std::chrono::seconds(60) / plan.mPeriod);
    Duration sinceEvidence{};
    std::size_t evidenceBytes = 0;
    for (int round = 0; round < rounds; ++round) {
      sinceEvidence += plan.mPeriod;
      if (sinceEvidence >= EvidencePeriod(options, size, evidenceBytes)) {
        sinceEvidence = {};
        evidenceBytes =
          AddLocalEvidence(gossip, 1, ManyCells(6), transmissions);
      }
      // NOTE: A VM sends requests and, on average, as many replies.
      for (std::size_t message = 0; message < 2 * plan.mFanOut; ++message) {
        Digest digest{
          1, ChooseRows(fleet.mTables[0], plan.mMaxRows), {}, {}, {}
        };
        const auto evidenceRoom =
          plan.mMaxMessageBytes -
          static_cast<std::int64_t>(digest.mRows.size()) * kRowBytes;
        if (evidenceRoom > 0) {
          digest.mEvidence = ChooseEvidenceUpdates(
            gossip, static_cast<std::size_t>(evidenceRoom));
        }
        bytes += static_cast<std::int64_t>(SerializeDigest(digest).size()) +
                 kCallOverheadBytes;
      }
      UpdateSelf(fleet.mTables[0], fleet.mStates[0], false, TimePoint{});
    }
    printf("%zu VMs: %f bytes/s, evidence period %f s\n",
           size,
           bytes / 60.0,
           std::chrono::duration<double>(
             EvidencePeriod(options, size, evidenceBytes))
             .count());
    CHECK(bytes <= options.mControlBytesPerSecond * 60);
  }
}

TEST(Pacing, StoreSyncRateIsBoundedAtAnyFleetSize)
{
  const MembershipOptions options;
  for (const std::size_t size : { 8, 330, 1000 }) {
    const double syncsPerSecond =
      static_cast<double>(size) /
      std::chrono::duration<double>(StorePeriod(options, size)).count();
    CHECK(syncsPerSecond <= 10.01);
  }
}
