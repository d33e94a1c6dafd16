#include <LibMembership/EvidenceRumours.h>

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

double Answers(const EvidenceView& aView)
{
  double answers = 0;
  for (const auto& [key, cell] : aView) {
    answers += cell.mAnswers;
  }
  return answers;
}

} // namespace

TEST_GROUP(EvidenceRumours){};

TEST(EvidenceRumours, SequencesCountOnceInAnyOrder)
{
  SeenSequences seen;
  CHECK(MarkSeen(seen, 5));
  CHECK(MarkSeen(seen, 3));
  CHECK(!MarkSeen(seen, 3));
  CHECK(!MarkSeen(seen, 5));
  CHECK(MarkSeen(seen, 80));
  CHECK(!MarkSeen(seen, 4)); // Too old to know; rather lost than twice.
  CHECK(!MarkSeen(seen, 0));
}

TEST(EvidenceRumours, EveryVmCountsEveryAnswerOnce)
{
  constexpr std::size_t kVms = 20;
  constexpr int kSends = 8;
  std::vector<EvidenceRumours> rumours(kVms);
  std::vector<double> answers(kVms, 1);
  Random random(3);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    AddOwnEvidence(
      rumours[vm], static_cast<ShortId>(vm + 1), OneAnswer(), kSends);
  }
  for (int round = 0; round < 30; ++round) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      const std::size_t peer = random.Below(kVms);
      const auto told = ChooseRumours(rumours[vm], 400);
      answers[peer] += Answers(MergeRumours(
        rumours[peer], static_cast<ShortId>(peer + 1), told, kSends));
    }
  }
  for (const double counted : answers) {
    DOUBLES_EQUAL(kVms, counted, 1e-9);
  }
}

TEST(EvidenceRumours, TheQueueAndTheMessageAreBounded)
{
  EvidenceRumours rumours;
  for (int batch = 0; batch < 5000; ++batch) {
    AddOwnEvidence(rumours, 1, OneAnswer(), 5);
  }
  CHECK(rumours.mCarried.size() <= 1024);
  CHECK(ChooseRumours(rumours, 500).size() <= 10);
  LONGS_EQUAL(1, ChooseRumours(rumours, 1).size());
}
