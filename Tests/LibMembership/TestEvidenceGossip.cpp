#include <LibMembership/EvidenceGossip.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

EvidenceView OneAnswer()
{
  EvidenceCell cell;
  cell.mAnswers = 1;
  return { { { "model", "v1", "summary" }, cell } };
}

double TotalAnswers(const EvidenceView& aView)
{
  double answers = 0;
  for (const auto& [key, cell] : aView) {
    answers += cell.mAnswers;
  }
  return answers;
}

} // namespace

TEST_GROUP(EvidenceGossip){};

TEST(EvidenceGossip, EachSequenceCountsOnceInAnyOrder)
{
  ReceivedSequences sequences;
  CHECK(MarkReceived(sequences, 5));
  CHECK(MarkReceived(sequences, 3));
  CHECK(!MarkReceived(sequences, 3));
  CHECK(!MarkReceived(sequences, 5));
  CHECK(MarkReceived(sequences, 80));
  CHECK(!MarkReceived(sequences, 4)); // Too old to tell, so it must not count.
  CHECK(!MarkReceived(sequences, 0));
}

TEST(EvidenceGossip, EveryVmCountsEveryAnswerOnce)
{
  constexpr std::size_t kVms = 20;
  constexpr int kTransmissions = 8;
  std::vector<EvidenceGossip> gossip(kVms);
  std::vector<double> answers(kVms, 1);
  Random random(3);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    AddLocalEvidence(
      gossip[vm], static_cast<ShortId>(vm + 1), OneAnswer(), kTransmissions);
  }
  for (int round = 0; round < 30; ++round) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      const std::size_t peer = random.Below(kVms);
      const auto received = ChooseEvidenceUpdates(gossip[vm], 400);
      answers[peer] +=
        TotalAnswers(MergeEvidenceUpdates(gossip[peer],
                                          static_cast<ShortId>(peer + 1),
                                          received,
                                          kTransmissions));
    }
  }
  for (const double counted : answers) {
    DOUBLES_EQUAL(kVms, counted, 1e-9);
  }
}

TEST(EvidenceGossip, QueueAndMessageSizesAreBounded)
{
  EvidenceGossip gossip;
  for (int batch = 0; batch < 5000; ++batch) {
    AddLocalEvidence(gossip, 1, OneAnswer(), 5);
  }
  CHECK(gossip.mQueue.size() <= 1024);
  CHECK(ChooseEvidenceUpdates(gossip, 500).size() <= 10);
  LONGS_EQUAL(1, ChooseEvidenceUpdates(gossip, 1).size());
}
