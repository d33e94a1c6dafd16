#include <Acaciavale/LibReport/SloCounters.h>

#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace Acaciavale {

namespace {

constexpr std::size_t kShards = 16;
/// Maximum number of cells, which keeps the record of a VM below the store's
/// value limit of one megabyte.
constexpr int kMaxCells = 100;
constexpr const char* kOther = "other";

using CellName = std::pair<std::string, std::string>;

struct Shard
{
  std::mutex mMutex;
  std::map<CellName, std::vector<SloBucket>> mCells;
};

constexpr UnixMilliseconds kFineBucketWidth = std::chrono::minutes(5);

UnixMilliseconds StartOf(UnixMilliseconds aTime, UnixMilliseconds aWidth)
{
  return aTime - aTime % aWidth;
}

/// Returns the bucket for the current time, appending it if necessary. Events
/// arrive almost in order; a late event is counted in the last bucket.
SloBucket& CurrentBucket(std::vector<SloBucket>& aBuckets,
                         UnixMilliseconds aNow)
{
  const UnixMilliseconds start = StartOf(aNow, kFineBucketWidth);
  if (aBuckets.empty() || aBuckets.back().mStart < start) {
    aBuckets = Coarsened(aBuckets, aNow);
    aBuckets.push_back({ start, kFineBucketWidth, {} });
  }
  return aBuckets.back();
}

void CountEvent(SloBucket& aBucket, SloKind aKind, bool aGood)
{
  SloTally& tally = aBucket.mTallies[static_cast<std::size_t>(aKind)];
  ++tally.mTotal;
  tally.mGood += aGood ? 1 : 0;
}

} // namespace

struct SloCounters::Private
{
  std::array<Shard, kShards> mShards;
  std::atomic<int> mCells{ 0 };

  Shard& ShardOf(const CellName& aName)
  {
    const std::hash<std::string> hash;
    return mShards[(hash(aName.first) * 31 + hash(aName.second)) % kShards];
  }

  /// Reserves a cell if the maximum has not been reached. Returns whether a
  /// cell was reserved.
  bool ReserveCell()
  {
    // NOTE: Loading first keeps the counter from growing without bound.
    return mCells.load() < kMaxCells && mCells.fetch_add(1) < kMaxCells;
  }

  /// Applies aChange to the current bucket while holding the lock of its shard.
  template<typename Change>
  void UpdateBucket(const CellName& aName,
                    UnixMilliseconds aNow,
                    Change aChange)
  {
    Shard& shard = ShardOf(aName);
    const std::lock_guard lock(shard.mMutex);
    const bool exists = shard.mCells.contains(aName);
    const bool hasOwnCell = exists || ReserveCell();
    const CellName name = hasOwnCell ? aName : CellName{ kOther, kOther };
    aChange(CurrentBucket(shard.mCells[name], aNow));
  }
};

SloCounters::SloCounters()
  : mPrivate(std::make_unique<Private>())
{
}

SloCounters::~SloCounters() = default;

void SloCounters::Record(const ObjectiveSettings& aObjective,
                         const SloSample& aSample,
                         UnixMilliseconds aNow)
{
  mPrivate->UpdateBucket(
    { aSample.mAccount, aSample.mModel }, aNow, [&](SloBucket& aBucket) {
      CountEvent(aBucket, SloKind::Availability, aSample.mAnswered);
      if (aSample.mFirstToken) {
        CountEvent(aBucket,
                   SloKind::FirstToken,
                   *aSample.mFirstToken <= aObjective.mFirstToken);
      }
      if (aSample.mBetweenTokens) {
        CountEvent(aBucket,
                   SloKind::BetweenTokens,
                   *aSample.mBetweenTokens <= aObjective.mBetweenTokens);
      }
    });
}

void SloCounters::RecordRating(const std::string& aAccount,
                               const std::string& aModel,
                               bool aGood,
                               UnixMilliseconds aNow)
{
  mPrivate->UpdateBucket({ aAccount, aModel }, aNow, [&](SloBucket& aBucket) {
    CountEvent(aBucket, SloKind::Quality, aGood);
  });
}

std::vector<SloCell> SloCounters::Cells(UnixMilliseconds aNow)
{
  std::vector<std::vector<SloCell>> cellSets(1);
  for (Shard& shard : mPrivate->mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (auto& [name, buckets] : shard.mCells) {
      buckets = Coarsened(buckets, aNow);
      cellSets[0].push_back({ name.first, name.second, buckets });
    }
  }
  // NOTE: Several shards may have a cell "other"; merging makes it one cell.
  return Merged(cellSets);
}

} // namespace Acaciavale
