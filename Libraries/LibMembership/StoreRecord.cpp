#include "StoreRecord.h"
#include "VmRecord.h"

namespace Acaciavale {

namespace {

/// The part of the state that the record tells; load is too quick for it.
VmState Recorded(VmState aState)
{
  aState.mInFlight = 0;
  aState.mHeartbeat = 0;
  aState.mSeesStore = true;
  return aState;
}

bool IsPassing(const Error& aError)
{
  return aError.mCode == ErrorCode::Unavailable ||
         aError.mCode == ErrorCode::OutcomeUnknown ||
         aError.mCode == ErrorCode::DeadlineExceeded ||
         aError.mCode == ErrorCode::Exhausted;
}

} // namespace

StoreRecord::StoreRecord(KeyValueStore aStore, std::uint64_t aSeed)
  : mStore(std::move(aStore))
  , mRandom(aSeed)
{
}

ErrorOr<void> StoreRecord::Update(const VmState& aState, Duration aTimeToLive)
{
  auto kept = KeepLease(aTimeToLive);
  if (!kept) {
    return kept;
  }
  if (mWritten && mWrittenState == Recorded(aState)) {
    return {};
  }
  return Write(aState);
}

ErrorOr<void> StoreRecord::KeepLease(Duration aTimeToLive)
{
  if (mLease != 0) {
    const auto kept = mStore.mKeepLease(mLease);
    if (kept) {
      return {};
    }
    if (IsPassing(kept.error())) {
      return tl::make_unexpected(kept.error());
    }
    mLease = 0;
  }
  mWritten = false;
  mLease = ACACIAVALE_TRY(mStore.mGrantLease(aTimeToLive));
  return {};
}

ErrorOr<void> StoreRecord::Write(const VmState& aState)
{
  const std::string key = VmKey(aState.mName);
  const auto found = ACACIAVALE_TRY(mStore.mRead(key));
  const std::string value =
    SerializeVmRecord(aState, CalendarNow(), RandomToken(mRandom));
  const auto written =
    WriteResolved(mStore, { key, value, found ? found->mRevision : 0, mLease });
  if (!written) {
    return tl::make_unexpected(written.error());
  }
  mWritten = true;
  mWrittenState = Recorded(aState);
  return {};
}

ErrorOr<std::vector<VmState>> StoreRecord::List() const
{
  std::vector<VmState> states;
  for (const KeyValueEntry& entry : ACACIAVALE_TRY(mStore.mList(kVmPrefix))) {
    const auto state = ParseVmRecord(entry.mValue);
    if (state) {
      states.push_back(*state);
    }
  }
  return states;
}

void StoreRecord::Revoke()
{
  if (mLease != 0) {
    // NOTE: If this fails, the lease lapses by itself.
    (void)mStore.mRevokeLease(mLease);
    mLease = 0;
    mWritten = false;
  }
}

} // namespace Acaciavale
