#include "MemberTable.h"
#include "Pacing.h"

#include <algorithm>

namespace Acaciavale {

namespace {

/// A dead record is kept this long, so that late rows do not revive it.
constexpr Duration kDeadKept = std::chrono::minutes(30);
constexpr std::size_t kMostRecords = 4096;

int UrgentSends(const MemberTable& aTable)
{
  return TellTimes(aTable.mRecords.size());
}

DigestRow RowOf(ShortId aId, const MemberRecord& aRecord)
{
  DigestRow row;
  row.mId = aId;
  row.mHeartbeat = aRecord.mState.mHeartbeat;
  row.mInFlight = aRecord.mState.mInFlight;
  row.mSettingsGeneration = aRecord.mState.mSettingsGeneration;
  row.mDraining = aRecord.mState.mDraining;
  row.mSeesStore = aRecord.mState.mSeesStore;
  row.mLeft = aRecord.mLeft;
  return row;
}

/// NOTE: Of a new generation, only the first VM that has it is news. The rows
/// of
///       all VMs that take it up would keep other news back.
bool IsNews(const MemberRecord& aRecord,
            const DigestRow& aRow,
            std::int64_t aTopGeneration)
{
  return aRecord.mState.mDraining != aRow.mDraining ||
         aRecord.mLeft != aRow.mLeft ||
         aRow.mSettingsGeneration > aTopGeneration;
}

/// Returns whether the row told something that must spread fast.
bool TakeRow(MemberTable& aTable,
             MemberRecord& aRecord,
             const DigestRow& aRow,
             TimePoint aNow,
             int aUrgentSends)
{
  const bool news = IsNews(aRecord, aRow, aTable.mTopGeneration);
  aTable.mTopGeneration =
    std::max(aTable.mTopGeneration, aRow.mSettingsGeneration);
  aRecord.mState.mHeartbeat = aRow.mHeartbeat;
  aRecord.mState.mInFlight = aRow.mInFlight;
  aRecord.mState.mDraining = aRow.mDraining;
  aRecord.mState.mSeesStore = aRow.mSeesStore;
  // NOTE: Generations never go back, whatever a peer says.
  aRecord.mState.mSettingsGeneration =
    std::max(aRecord.mState.mSettingsGeneration, aRow.mSettingsGeneration);
  aRecord.mLeft = aRecord.mLeft || aRow.mLeft;
  aRecord.mLastProgress = aNow;
  aRecord.mTells = 0;
  aRecord.mHealth = aRecord.mLeft ? VmHealth::Dead : VmHealth::Alive;
  if (news) {
    aRecord.mUrgentSends = aUrgentSends;
  }
  return news;
}

void MergeDescribed(MemberTable& aTable,
                    const VmDescribed& aVm,
                    TimePoint aNow,
                    MergeOutcome& aOutcome)
{
  const ShortId id = ShortIdOf(aVm.mState.mName, aVm.mState.mIncarnation);
  if (id == aTable.mSelf || aTable.mRecords.contains(id) ||
      aTable.mRecords.size() >= kMostRecords) {
    return;
  }
  MemberRecord record;
  record.mState = aVm.mState;
  record.mLeft = aVm.mLeft;
  record.mHealth = aVm.mLeft ? VmHealth::Dead : VmHealth::Alive;
  record.mLastProgress = aNow;
  record.mUrgentSends = UrgentSends(aTable);
  aTable.mRecords.emplace(id, std::move(record));
  aOutcome.mNews.push_back(id);
}

/// Ids other than the own that may be told: a dead VM's row tells nothing
/// unless it left in order.
std::vector<ShortId> TellableIds(const MemberTable& aTable)
{
  std::vector<ShortId> ids;
  ids.reserve(aTable.mRecords.size());
  for (const auto& [id, record] : aTable.mRecords) {
    const bool tellable =
      record.mHealth != VmHealth::Dead || record.mUrgentSends > 0;
    if (id != aTable.mSelf && tellable) {
      ids.push_back(id);
    }
  }
  return ids;
}

/// The order in which rows go into a digest; the least comes first.
struct RowRank
{
  int mUrgency = 0; ///< Negative: news first.
  int mTells = 0;   ///< Digests that carried this heartbeat.
  Duration mAge{};  ///< Negative time of the last progress: fresh ones first.
  std::uint64_t mDraw = 0;
  ShortId mId = 0;

  auto operator<=>(const RowRank&) const = default;
};

RowRank RankOf(const MemberTable& aTable, ShortId aId)
{
  const MemberRecord& record = aTable.mRecords.at(aId);
  // NOTE: Many rows are equally fresh. Another order in each digest keeps any
  //       of them from always coming last.
  const std::uint64_t draw =
    Random((std::uint64_t(aId) << 32) | aTable.mDigests).Next();
  return { -record.mUrgentSends,
           record.mTells,
           -record.mLastProgress.time_since_epoch(),
           draw,
           aId };
}

/// The peer that was neither heard of nor asked for the longest time.
std::vector<ShortId>::iterator MostSilent(const MemberTable& aTable,
                                          std::vector<ShortId>& aIds,
                                          TimePoint aNow)
{
  const auto quiet = [&aTable, aNow](ShortId aId) {
    const MemberRecord& record = aTable.mRecords.at(aId);
    return std::min(aNow - record.mLastProgress, aNow - record.mLastAsked);
  };
  return std::max_element(
    aIds.begin(), aIds.end(), [&quiet](ShortId aLeft, ShortId aRight) {
      return quiet(aLeft) < quiet(aRight);
    });
}

VmHealth HealthOf(const MemberRecord& aRecord,
                  const FailureTimes& aTimes,
                  TimePoint aNow)
{
  const Duration silence = aNow - aRecord.mLastProgress;
  if (aRecord.mLeft || silence > aTimes.mDeadAfter) {
    return VmHealth::Dead;
  }
  return silence > aTimes.mSuspectAfter ? VmHealth::Suspect : VmHealth::Alive;
}

} // namespace

void BeatSelf(MemberTable& aTable, VmState aSelf, bool aLeft, TimePoint aNow)
{
  const ShortId id = ShortIdOf(aSelf.mName, aSelf.mIncarnation);
  if (id != aTable.mSelf) {
    aTable.mRecords.erase(aTable.mSelf);
    aTable.mSelf = id;
  }
  const int urgentSends = UrgentSends(aTable);
  MemberRecord& record = aTable.mRecords[id];
  aSelf.mHeartbeat = record.mState.mHeartbeat + 1;
  aTable.mTopGeneration =
    std::max(aTable.mTopGeneration, aSelf.mSettingsGeneration);
  record.mState = std::move(aSelf);
  record.mLeft = aLeft;
  record.mLastProgress = aNow;
  record.mUrgentSends = urgentSends;
}

MergeOutcome MergeDigest(MemberTable& aTable,
                         const Digest& aDigest,
                         TimePoint aNow)
{
  MergeOutcome outcome;
  for (const VmDescribed& vm : aDigest.mDescribed) {
    MergeDescribed(aTable, vm, aNow, outcome);
  }
  const int urgentSends = UrgentSends(aTable);
  for (const DigestRow& row : aDigest.mRows) {
    if (row.mId == aTable.mSelf) {
      continue;
    }
    const auto place = aTable.mRecords.find(row.mId);
    if (place == aTable.mRecords.end()) {
      outcome.mUnknown.push_back(row.mId);
      continue;
    }
    const bool newer = row.mHeartbeat > place->second.mState.mHeartbeat;
    if (newer && TakeRow(aTable, place->second, row, aNow, urgentSends)) {
      outcome.mNews.push_back(row.mId);
    }
  }
  return outcome;
}

void AddSeed(MemberTable& aTable, const VmState& aState, TimePoint aNow)
{
  MergeOutcome outcome;
  MergeDescribed(aTable, { aState, false }, aNow, outcome);
  for (const ShortId id : outcome.mNews) {
    // NOTE: The others read the same list; told as news, a whole fleet of seeds
    //       would keep back the news of the first half minute.
    aTable.mRecords.at(id).mUrgentSends = 0;
  }
}

std::vector<DigestRow> ChooseRows(MemberTable& aTable, std::size_t aMost)
{
  std::vector<DigestRow> rows;
  const auto self = aTable.mRecords.find(aTable.mSelf);
  if (self != aTable.mRecords.end()) {
    rows.push_back(RowOf(self->first, self->second));
  }
  const std::vector<ShortId> ids = TellableIds(aTable);
  const std::size_t room =
    std::min(ids.size(), aMost > rows.size() ? aMost - rows.size() : 0);
  ++aTable.mDigests;
  std::vector<RowRank> ranks;
  ranks.reserve(ids.size());
  for (const ShortId id : ids) {
    ranks.push_back(RankOf(aTable, id));
  }
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(room),
                    ranks.end());
  for (std::size_t index = 0; index < room; ++index) {
    MemberRecord& record = aTable.mRecords.at(ranks[index].mId);
    record.mUrgentSends = std::max(0, record.mUrgentSends - 1);
    ++record.mTells;
    rows.push_back(RowOf(ranks[index].mId, record));
  }
  return rows;
}

std::vector<VmDescribed> Describe(const MemberTable& aTable,
                                  const std::vector<ShortId>& aIds)
{
  std::vector<VmDescribed> described;
  for (const ShortId id : aIds) {
    const auto place = aTable.mRecords.find(id);
    if (place != aTable.mRecords.end()) {
      described.push_back({ place->second.mState, place->second.mLeft });
    }
  }
  return described;
}

std::vector<Incarnation> JudgeHealth(MemberTable& aTable,
                                     const FailureTimes& aTimes,
                                     TimePoint aNow)
{
  std::vector<Incarnation> died;
  for (auto place = aTable.mRecords.begin(); place != aTable.mRecords.end();) {
    MemberRecord& record = place->second;
    if (place->first == aTable.mSelf) {
      ++place;
      continue;
    }
    record.mHealth = HealthOf(record, aTimes, aNow);
    if (record.mHealth == VmHealth::Dead && !record.mDeathReported) {
      record.mDeathReported = true;
      died.push_back({ record.mState.mName, record.mState.mIncarnation });
    }
    const bool forgotten = record.mHealth == VmHealth::Dead &&
                           aNow - record.mLastProgress > kDeadKept;
    place = forgotten ? aTable.mRecords.erase(place) : std::next(place);
  }
  return died;
}

void ForgiveSilence(MemberTable& aTable, Duration aGap)
{
  for (auto& [id, record] : aTable.mRecords) {
    record.mLastProgress += aGap;
  }
}

std::vector<ShortId> LivePeers(const MemberTable& aTable)
{
  std::vector<ShortId> ids;
  for (const auto& [id, record] : aTable.mRecords) {
    if (id != aTable.mSelf && record.mHealth != VmHealth::Dead) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<ShortId> DrawPeers(MemberTable& aTable,
                               std::size_t aMost,
                               TimePoint aNow,
                               Random& aRandom)
{
  std::vector<ShortId> ids = LivePeers(aTable);
  const std::size_t count = std::min(aMost, ids.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(ids[index], ids[index + aRandom.Below(ids.size() - index)]);
  }
  if (count > 0) {
    std::iter_swap(ids.begin(), MostSilent(aTable, ids, aNow));
  }
  ids.resize(count);
  for (const ShortId id : ids) {
    aTable.mRecords.at(id).mLastAsked = aNow;
  }
  return ids;
}

std::optional<ShortId> DrawDeadPeer(const MemberTable& aTable, Random& aRandom)
{
  std::vector<ShortId> ids;
  for (const auto& [id, record] : aTable.mRecords) {
    if (record.mHealth == VmHealth::Dead && !record.mLeft) {
      ids.push_back(id);
    }
  }
  if (ids.empty()) {
    return std::nullopt;
  }
  return ids[aRandom.Below(ids.size())];
}

std::vector<Member> MembersOf(const MemberTable& aTable)
{
  std::vector<Member> members;
  members.reserve(aTable.mRecords.size());
  for (const auto& [id, record] : aTable.mRecords) {
    members.push_back({ record.mState, record.mHealth });
  }
  std::sort(members.begin(), members.end());
  return members;
}

} // namespace Acaciavale
