#include "MemberTable.h"
#include "Pacing.h"

#include <algorithm>

namespace Acaciavale {

namespace {

/// Time for which the record of a dead VM is kept, so that late rows do not add
/// the VM again.
constexpr Duration kDeadRetention = std::chrono::minutes(30);
constexpr std::size_t kMaxRecords = 4096;

int UrgentTransmissions(const MemberTable& aTable)
{
  return GossipTransmissions(aTable.mRecords.size());
}

DigestRow MakeRow(ShortId aId, const MemberRecord& aRecord)
{
  DigestRow row;
  row.mId = aId;
  row.mHeartbeat = aRecord.mState.mHeartbeat;
  row.mInFlight = aRecord.mState.mInFlight;
  row.mSettingsGeneration = aRecord.mState.mSettingsGeneration;
  row.mDraining = aRecord.mState.mDraining;
  row.mStoreReachable = aRecord.mState.mStoreReachable;
  row.mLeft = aRecord.mLeft;
  return row;
}

/// Whether the row has a change that must spread fast.
///
/// NOTE: Only the first VM with a new settings generation counts. If the rows
///       of all VMs that apply it counted, they would delay other urgent
///       changes.
bool IsUrgentChange(const MemberRecord& aRecord,
                    const DigestRow& aRow,
                    std::int64_t aHighestGeneration)
{
  return aRecord.mState.mDraining != aRow.mDraining ||
         aRecord.mLeft != aRow.mLeft ||
         aRow.mSettingsGeneration > aHighestGeneration;
}

/// Copies the row into the record. Returns whether it has an urgent change.
bool ApplyRow(MemberTable& aTable,
              MemberRecord& aRecord,
              const DigestRow& aRow,
              TimePoint aNow,
              int aUrgentTransmissions)
{
  const bool urgent = IsUrgentChange(aRecord, aRow, aTable.mHighestGeneration);
  aTable.mHighestGeneration =
    std::max(aTable.mHighestGeneration, aRow.mSettingsGeneration);
  aRecord.mState.mHeartbeat = aRow.mHeartbeat;
  aRecord.mState.mInFlight = aRow.mInFlight;
  aRecord.mState.mDraining = aRow.mDraining;
  aRecord.mState.mStoreReachable = aRow.mStoreReachable;
  // NOTE: A recorded generation never decreases, whatever a peer reports.
  aRecord.mState.mSettingsGeneration =
    std::max(aRecord.mState.mSettingsGeneration, aRow.mSettingsGeneration);
  aRecord.mLeft = aRecord.mLeft || aRow.mLeft;
  aRecord.mLastHeartbeatAt = aNow;
  aRecord.mTransmissions = 0;
  aRecord.mHealth = aRecord.mLeft ? VmHealth::Dead : VmHealth::Alive;
  if (urgent) {
    aRecord.mUrgentTransmissions = aUrgentTransmissions;
  }
  return urgent;
}

void MergeDescribed(MemberTable& aTable,
                    const VmDescription& aVm,
                    TimePoint aNow,
                    MergeOutcome& aOutcome)
{
  const ShortId id = ShortIdOf(aVm.mState.mName, aVm.mState.mIncarnation);
  if (id == aTable.mSelfId || aTable.mRecords.contains(id) ||
      aTable.mRecords.size() >= kMaxRecords) {
    return;
  }
  MemberRecord record;
  record.mState = aVm.mState;
  record.mLeft = aVm.mLeft;
  record.mHealth = aVm.mLeft ? VmHealth::Dead : VmHealth::Alive;
  record.mLastHeartbeatAt = aNow;
  record.mUrgentTransmissions = UrgentTransmissions(aTable);
  aTable.mRecords.emplace(id, std::move(record));
  aOutcome.mUrgentIds.push_back(id);
}

/// Ids of the VMs whose rows may go into digests, without this VM. The row of a
/// dead VM is of use only while it spreads an urgent change, such as leaving.
std::vector<ShortId> GossipCandidates(const MemberTable& aTable)
{
  std::vector<ShortId> ids;
  ids.reserve(aTable.mRecords.size());
  for (const auto& [id, record] : aTable.mRecords) {
    const bool spreadable =
      record.mHealth != VmHealth::Dead || record.mUrgentTransmissions > 0;
    if (id != aTable.mSelfId && spreadable) {
      ids.push_back(id);
    }
  }
  return ids;
}

/// Sort key of the rows of a digest; the smallest comes first.
struct RowRank
{
  /// Negated, so that the row with most urgent transmissions left comes first.
  int mNegatedUrgency = 0;
  /// Number of digests that have carried the current heartbeat.
  int mTransmissions = 0;
  /// Negated, so that the newest heartbeat comes first.
  Duration mNegatedHeartbeatTime{};
  std::uint64_t mTieBreak = 0; ///< Pseudo-random order among equal rows.
  ShortId mId = 0;

  auto operator<=>(const RowRank&) const = default;
};

RowRank RankOf(const MemberTable& aTable, ShortId aId)
{
  const MemberRecord& record = aTable.mRecords.at(aId);
  // NOTE: Many heartbeats have the same age. A different order in each digest
  //       keeps any of them from always coming last.
  const std::uint64_t tieBreak =
    Random((std::uint64_t(aId) << 32) | aTable.mDigestCount).Next();
  return { -record.mUrgentTransmissions,
           record.mTransmissions,
           -record.mLastHeartbeatAt.time_since_epoch(),
           tieBreak,
           aId };
}

/// The peer that for the longest time has neither had a new heartbeat nor been
/// sent a digest.
std::vector<ShortId>::iterator LongestSilentPeer(const MemberTable& aTable,
                                                 std::vector<ShortId>& aIds,
                                                 TimePoint aNow)
{
  const auto sinceLastContact = [&aTable, aNow](ShortId aId) {
    const MemberRecord& record = aTable.mRecords.at(aId);
    return std::min(aNow - record.mLastHeartbeatAt,
                    aNow - record.mLastDigestSentAt);
  };
  return std::max_element(aIds.begin(),
                          aIds.end(),
                          [&sinceLastContact](ShortId aLeft, ShortId aRight) {
                            return sinceLastContact(aLeft) <
                                   sinceLastContact(aRight);
                          });
}

VmHealth HealthOf(const MemberRecord& aRecord,
                  const FailureTimes& aTimes,
                  TimePoint aNow)
{
  const Duration silence = aNow - aRecord.mLastHeartbeatAt;
  if (aRecord.mLeft || silence > aTimes.mDeadAfter) {
    return VmHealth::Dead;
  }
  return silence > aTimes.mSuspectAfter ? VmHealth::Suspect : VmHealth::Alive;
}

} // namespace

void UpdateSelf(MemberTable& aTable,
                VmState aSelfState,
                bool aLeft,
                TimePoint aNow)
{
  const ShortId id = ShortIdOf(aSelfState.mName, aSelfState.mIncarnation);
  if (id != aTable.mSelfId) {
    aTable.mRecords.erase(aTable.mSelfId);
    aTable.mSelfId = id;
  }
  const int urgentTransmissions = UrgentTransmissions(aTable);
  MemberRecord& record = aTable.mRecords[id];
  aSelfState.mHeartbeat = record.mState.mHeartbeat + 1;
  aTable.mHighestGeneration =
    std::max(aTable.mHighestGeneration, aSelfState.mSettingsGeneration);
  record.mState = std::move(aSelfState);
  record.mLeft = aLeft;
  record.mLastHeartbeatAt = aNow;
  record.mUrgentTransmissions = urgentTransmissions;
}

MergeOutcome MergeDigest(MemberTable& aTable,
                         const Digest& aDigest,
                         TimePoint aNow)
{
  MergeOutcome outcome;
  for (const VmDescription& vm : aDigest.mDescriptions) {
    MergeDescribed(aTable, vm, aNow, outcome);
  }
  const int urgentTransmissions = UrgentTransmissions(aTable);
  for (const DigestRow& row : aDigest.mRows) {
    if (row.mId == aTable.mSelfId) {
      continue;
    }
    const auto it = aTable.mRecords.find(row.mId);
    if (it == aTable.mRecords.end()) {
      outcome.mUnknownIds.push_back(row.mId);
      continue;
    }
    const bool newer = row.mHeartbeat > it->second.mState.mHeartbeat;
    if (newer && ApplyRow(aTable, it->second, row, aNow, urgentTransmissions)) {
      outcome.mUrgentIds.push_back(row.mId);
    }
  }
  return outcome;
}

void AddSeed(MemberTable& aTable, const VmState& aState, TimePoint aNow)
{
  MergeOutcome outcome;
  MergeDescribed(aTable, { aState, false }, aNow, outcome);
  for (const ShortId id : outcome.mUrgentIds) {
    // NOTE: The other VMs read the same list. If seeds counted as urgent, those
    //       of a whole fleet would delay urgent changes in the first 30 s.
    aTable.mRecords.at(id).mUrgentTransmissions = 0;
  }
}

std::vector<DigestRow> ChooseRows(MemberTable& aTable, std::size_t aMaxCount)
{
  std::vector<DigestRow> rows;
  const auto self = aTable.mRecords.find(aTable.mSelfId);
  if (self != aTable.mRecords.end()) {
    rows.push_back(MakeRow(self->first, self->second));
  }
  const std::vector<ShortId> ids = GossipCandidates(aTable);
  const std::size_t peerRows =
    std::min(ids.size(), aMaxCount > rows.size() ? aMaxCount - rows.size() : 0);
  ++aTable.mDigestCount;
  std::vector<RowRank> ranks;
  ranks.reserve(ids.size());
  for (const ShortId id : ids) {
    ranks.push_back(RankOf(aTable, id));
  }
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(peerRows),
                    ranks.end());
  for (std::size_t index = 0; index < peerRows; ++index) {
    MemberRecord& record = aTable.mRecords.at(ranks[index].mId);
    record.mUrgentTransmissions = std::max(0, record.mUrgentTransmissions - 1);
    ++record.mTransmissions;
    rows.push_back(MakeRow(ranks[index].mId, record));
  }
  return rows;
}

std::vector<VmDescription> DescribeVms(const MemberTable& aTable,
                                       const std::vector<ShortId>& aIds)
{
  std::vector<VmDescription> descriptions;
  for (const ShortId id : aIds) {
    const auto it = aTable.mRecords.find(id);
    if (it != aTable.mRecords.end()) {
      descriptions.push_back({ it->second.mState, it->second.mLeft });
    }
  }
  return descriptions;
}

std::vector<Incarnation> UpdateHealth(MemberTable& aTable,
                                      const FailureTimes& aTimes,
                                      TimePoint aNow)
{
  std::vector<Incarnation> died;
  for (auto it = aTable.mRecords.begin(); it != aTable.mRecords.end();) {
    MemberRecord& record = it->second;
    if (it->first == aTable.mSelfId) {
      ++it;
      continue;
    }
    record.mHealth = HealthOf(record, aTimes, aNow);
    if (record.mHealth == VmHealth::Dead && !record.mDeathReported) {
      record.mDeathReported = true;
      died.push_back({ record.mState.mName, record.mState.mIncarnation });
    }
    const bool expired = record.mHealth == VmHealth::Dead &&
                         aNow - record.mLastHeartbeatAt > kDeadRetention;
    it = expired ? aTable.mRecords.erase(it) : std::next(it);
  }
  return died;
}

void DiscountPause(MemberTable& aTable, Duration aPause)
{
  for (auto& [id, record] : aTable.mRecords) {
    record.mLastHeartbeatAt += aPause;
  }
}

std::vector<ShortId> LivePeers(const MemberTable& aTable)
{
  std::vector<ShortId> ids;
  for (const auto& [id, record] : aTable.mRecords) {
    if (id != aTable.mSelfId && record.mHealth != VmHealth::Dead) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<ShortId> ChoosePeers(MemberTable& aTable,
                                 std::size_t aMaxCount,
                                 TimePoint aNow,
                                 Random& aRandom)
{
  std::vector<ShortId> ids = LivePeers(aTable);
  const std::size_t count = std::min(aMaxCount, ids.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(ids[index], ids[index + aRandom.Below(ids.size() - index)]);
  }
  if (count > 0) {
    std::iter_swap(ids.begin(), LongestSilentPeer(aTable, ids, aNow));
  }
  ids.resize(count);
  for (const ShortId id : ids) {
    aTable.mRecords.at(id).mLastDigestSentAt = aNow;
  }
  return ids;
}

std::optional<ShortId> ChooseDeadPeer(const MemberTable& aTable,
                                      Random& aRandom)
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

std::vector<Member> ListMembers(const MemberTable& aTable)
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
