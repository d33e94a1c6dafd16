#include <Acaciavale/LibRouting/EvidenceStore.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr std::size_t kShardCount = 16;
/// Snapshots omit cells whose counts do not exceed this value.
constexpr double kMinKeptCount = 0.01;

/// Evidence cell with the time up to which its decay has been applied.
struct DecayingCell
{
  EvidenceCell mCell;
  TimePoint mDecayedAt{};
};

struct Shard
{
  mutable std::mutex mLock;
  std::map<EvidenceKey, DecayingCell> mCells;
  EvidenceView mPendingReport; ///< Own records that TakeReport returns next.
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
    return mShards[mixed % kShardCount];
  }

  EvidenceCell DecayedTo(const DecayingCell& aCell, TimePoint aNow) const
  {
    const double halfLives =
      std::chrono::duration<double>(aNow - aCell.mDecayedAt) /
      std::chrono::duration<double>(mHalfLife);
    return Scaled(aCell.mCell, std::exp2(-std::max(0.0, halfLives)));
  }

  /// The calling code must hold the shard's lock.
  void Add(Shard& aShard,
           const EvidenceKey& aKey,
           const EvidenceCell& aCell,
           TimePoint aNow) const
  {
    DecayingCell& decaying = aShard.mCells[aKey];
    decaying.mCell = DecayedTo(decaying, aNow) + aCell;
    decaying.mDecayedAt = std::max(decaying.mDecayedAt, aNow);
  }

  void AddLocal(const EvidenceKey& aKey,
                const EvidenceCell& aCell,
                TimePoint aNow)
  {
    Shard& shard = ShardOf(aKey);
    const std::lock_guard<std::mutex> guard(shard.mLock);
    Add(shard, aKey, aCell, aNow);
    EvidenceCell& pending = shard.mPendingReport[aKey];
    pending = pending + aCell;
  }

  Duration mHalfLife;
  std::array<Shard, kShardCount> mShards;
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
  mPrivate->AddLocal(aKey, CellOf(aAnswer), aNow);
}

void EvidenceStore::RecordRating(const EvidenceKey& aKey,
                                 bool aGood,
                                 TimePoint aNow)
{
  EvidenceCell cell;
  cell.mRated = 1;
  cell.mGood = aGood ? 1 : 0;
  mPrivate->AddLocal(aKey, cell, aNow);
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
    report.merge(shard.mPendingReport);
    shard.mPendingReport.clear();
  }
  return report;
}

EvidenceView EvidenceStore::Snapshot(TimePoint aNow) const
{
  EvidenceView view;
  for (const Shard& shard : mPrivate->mShards) {
    const std::lock_guard<std::mutex> guard(shard.mLock);
    for (const auto& [key, decaying] : shard.mCells) {
      const EvidenceCell cell = mPrivate->DecayedTo(decaying, aNow);
      if (cell.mAnswers + cell.mRated > kMinKeptCount) {
        view.emplace(key, cell);
      }
    }
  }
  return view;
}

} // namespace Acaciavale
