#include <Acaciavale/LibRouting/EvidenceStore.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr std::size_t kShards = 16;
/// Counts below this are forgotten.
constexpr double kFadedCount = 0.01;

struct TimedCell
{
  EvidenceCell mCell;
  TimePoint mAgedAt{};
};

struct Shard
{
  mutable std::mutex mLock;
  std::map<EvidenceKey, TimedCell> mCells;
  EvidenceView mReport;
};

EvidenceCell CellOf(const AnswerEvidence& aAnswer)
{
  EvidenceCell cell;
  cell.mAnswers = 1;
  cell.mEscalations = aAnswer.mEscalated ? 1 : 0;
  if (aAnswer.mFailed) {
    cell.mErrors = 1;
    return cell;
  }
  cell.mFirstTokenSeconds = aAnswer.mFirstTokenSeconds;
  cell.mOutputTokens = aAnswer.mOutputTokens;
  return cell;
}

} // namespace

struct EvidenceStore::Private
{
  explicit Private(Duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  Shard& ShardOf(const EvidenceKey& aKey)
  {
    const std::hash<std::string> hash;
    const std::size_t mixed =
      hash(aKey.mModel) * 31 + hash(aKey.mVersion) * 7 + hash(aKey.mKind);
    return mShards[mixed % kShards];
  }

  EvidenceCell AgedTo(const TimedCell& aCell, TimePoint aNow) const
  {
    const double lives = std::chrono::duration<double>(aNow - aCell.mAgedAt) /
                         std::chrono::duration<double>(mHalfLife);
    return Aged(aCell.mCell, std::exp2(-std::max(0.0, lives)));
  }

  /// The shard's lock is held.
  void Add(Shard& aShard,
           const EvidenceKey& aKey,
           const EvidenceCell& aCell,
           TimePoint aNow) const
  {
    TimedCell& timed = aShard.mCells[aKey];
    timed.mCell = AgedTo(timed, aNow) + aCell;
    timed.mAgedAt = std::max(timed.mAgedAt, aNow);
  }

  void AddOwn(const EvidenceKey& aKey,
              const EvidenceCell& aCell,
              TimePoint aNow)
  {
    Shard& shard = ShardOf(aKey);
    const std::lock_guard<std::mutex> guard(shard.mLock);
    Add(shard, aKey, aCell, aNow);
    EvidenceCell& reported = shard.mReport[aKey];
    reported = reported + aCell;
  }

  Duration mHalfLife;
  std::array<Shard, kShards> mShards;
};

EvidenceStore::EvidenceStore(Duration aHalfLife)
  : mPrivate(std::make_unique<Private>(aHalfLife))
{
}

EvidenceStore::~EvidenceStore() = default;

void EvidenceStore::RecordAnswer(const EvidenceKey& aKey,
                                 const AnswerEvidence& aAnswer,
                                 TimePoint aNow)
{
  mPrivate->AddOwn(aKey, CellOf(aAnswer), aNow);
}

void EvidenceStore::RecordRating(const EvidenceKey& aKey,
                                 bool aGood,
                                 TimePoint aNow)
{
  EvidenceCell cell;
  cell.mRated = 1;
  cell.mGood = aGood ? 1 : 0;
  mPrivate->AddOwn(aKey, cell, aNow);
}

void EvidenceStore::Merge(const EvidenceView& aReport, TimePoint aNow)
{
  for (const auto& [key, cell] : aReport) {
    Shard& shard = mPrivate->ShardOf(key);
    const std::lock_guard<std::mutex> guard(shard.mLock);
    mPrivate->Add(shard, key, cell, aNow);
  }
}

EvidenceView EvidenceStore::TakeReport()
{
  EvidenceView report;
  for (Shard& shard : mPrivate->mShards) {
    const std::lock_guard<std::mutex> guard(shard.mLock);
    report.merge(shard.mReport);
    shard.mReport.clear();
  }
  return report;
}

EvidenceView EvidenceStore::Snapshot(TimePoint aNow) const
{
  EvidenceView view;
  for (const Shard& shard : mPrivate->mShards) {
    const std::lock_guard<std::mutex> guard(shard.mLock);
    for (const auto& [key, timed] : shard.mCells) {
      const EvidenceCell cell = mPrivate->AgedTo(timed, aNow);
      if (cell.mAnswers + cell.mRated > kFadedCount) {
        view.emplace(key, cell);
      }
    }
  }
  return view;
}

} // namespace Acaciavale
