#include "Parts.h"

#include <LibMembership/DigestCodec.h>

#include <LibMembership/SimulatedFleet.h>

#include <cstdio>
#include <malloc.h>

namespace Acaciavale::CapacityMeasure {

namespace {

constexpr int kRepetitions = 2000;
constexpr std::size_t kSizes[] = { 8, 40, 100, 200, 330, 660 };
constexpr std::size_t kCellsPerVm = 6;

EvidenceView MakeEvidence()
{
  EvidenceView view;
  for (std::size_t index = 0; index < kCellsPerVm; ++index) {
    EvidenceCell cell;
    cell.mRated = 3;
    cell.mGood = 2;
    cell.mAnswers = 30;
    cell.mErrors = 1;
    cell.mFirstTokenSeconds = 12.5;
    cell.mOutputTokens = 4000;
    view[{ "dossier-model", "v1", "kind-" + std::to_string(index) }] = cell;
  }
  return view;
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

Digest BuildDigest(MemberTable& aTable,
                   EvidenceGossip& aGossip,
                   const RoundPlan& aPlan)
{
  Digest digest{
    aTable.mSelfId, ChooseRows(aTable, aPlan.mMaxRows), {}, {}, {}
  };
  const auto evidenceBytes =
    aPlan.mMaxMessageBytes -
    static_cast<std::int64_t>(digest.mRows.size()) * kRowBytes;
  if (evidenceBytes > 0) {
    digest.mEvidence =
      ChooseEvidenceUpdates(aGossip, static_cast<std::size_t>(evidenceBytes));
  }
  return digest;
}

void MeasureSize(std::size_t aSize)
{
  const MembershipOptions options;
  const RoundPlan plan = PlanRound(options, aSize);
  const std::size_t heapBefore = HeapBytes();
  MemberTable table;
  UpdateSelf(table, SimulatedVm(0), false, TimePoint{});
  for (std::size_t index = 1; index < aSize; ++index) {
    AddSeed(table, SimulatedVm(index), TimePoint{});
  }
  const std::size_t heapBytes = HeapBytes() - heapBefore;
  EvidenceGossip gossip;
  MemberTable peer = table;
  std::size_t bytes = 0;
  const TimePoint start = MonotonicNow();
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    AddLocalEvidence(gossip, table.mSelfId, MakeEvidence(), 1);
    UpdateSelf(table, SimulatedVm(0), false, TimePoint{});
    const std::string wire = SerializeDigest(BuildDigest(table, gossip, plan));
    bytes += wire.size();
    MergeDigest(peer, *ParseDigest(wire), TimePoint{});
  }
  const double secondsPerMessage =
    Seconds(MonotonicNow() - start) / kRepetitions;
  const double messagesPerSecond =
    2 * static_cast<double>(plan.mFanOut) / Seconds(plan.mPeriod);
  const double bytesPerMessage = static_cast<double>(bytes) / kRepetitions;
  std::printf(
    "%5zu %8.2f %9.1f %9.0f %9.0f %9.1f %9.3f %9.0f %10.1f\n",
    aSize,
    Seconds(plan.mPeriod),
    messagesPerSecond,
    bytesPerMessage,
    (bytesPerMessage + kCallOverheadBytes) * messagesPerSecond,
    secondsPerMessage * 1e6,
    secondsPerMessage * messagesPerSecond * 100,
    static_cast<double>(heapBytes) / static_cast<double>(aSize),
    Seconds(EvidencePeriod(
      options, aSize, AddLocalEvidence(gossip, 1, MakeEvidence(), 1))));
}

} // namespace

void MeasureDigests()
{
  std::printf("digests, fixed seed, %zu evidence cells per VM\n", kCellsPerVm);
  std::printf("%5s %8s %9s %9s %9s %9s %9s %9s %10s\n",
              "VMs",
              "period_s",
              "msgs/s",
              "bytes/msg",
              "bytes/s",
              "us/msg",
              "core_%",
              "B/member",
              "evidence_s");
  for (const std::size_t size : kSizes) {
    MeasureSize(size);
  }
}

} // namespace Acaciavale::CapacityMeasure
