#include "VmRegistration.h"
#include "VmRecord.h"

namespace Acaciavale {

namespace {

/// The state with those fields cleared that the record does not hold, since
/// they change too often.
VmState RecordedFields(VmState aState)
{
  aState.mInFlight = 0;
  aState.mHeartbeat = 0;
  aState.mStoreReachable = true;
  return aState;
}

bool IsTransient(const Error& aError)
{
  return aError.mCode == ErrorCode::Unavailable ||
         aError.mCode == ErrorCode::OutcomeUnknown ||
         aError.mCode == ErrorCode::DeadlineExceeded ||
         aError.mCode == ErrorCode::Exhausted;
}

} // namespace

VmRegistration::VmRegistration(KeyValueStore aStore, std::uint64_t aSeed)
  : mStore(std::move(aStore))
  , mRandom(aSeed)
{
}

ErrorOr<void> VmRegistration::Update(const VmState& aState,
                                     Duration aTimeToLive)
{
  auto renewed = RenewLease(aTimeToLive);
  if (!renewed) {
    return renewed;
  }
  if (mRecordWritten && mWrittenFields == RecordedFields(aState)) {
    return {};
  }
  return Write(aState);
}

ErrorOr<void> VmRegistration::RenewLease(Duration aTimeToLive)
{
  if (mLeaseId != 0) {
    const auto renewed = mStore.mKeepLease(mLeaseId);
    if (renewed) {
      return {};
    }
    if (IsTransient(renewed.error())) {
      return tl::make_unexpected(renewed.error());
    }
    mLeaseId = 0;
  }
  mRecordWritten = false;
  mLeaseId = ACACIAVALE_TRY(mStore.mGrantLease(aTimeToLive));
  return {};
}

ErrorOr<void> VmRegistration::Write(const VmState& aState)
{
  const std::string key = VmKey(aState.mName);
  const auto stored = ACACIAVALE_TRY(mStore.mRead(key));
  const std::string value =
    SerializeVmRecord(aState, CalendarNow(), RandomToken(mRandom));
  const auto written = WriteResolved(
    mStore, { key, value, stored ? stored->mRevision : 0, mLeaseId });
  if (!written) {
    return tl::make_unexpected(written.error());
  }
  mRecordWritten = true;
  mWrittenFields = RecordedFields(aState);
  return {};
}

ErrorOr<std::vector<VmState>> VmRegistration::List() const
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

void VmRegistration::Revoke()
{
  if (mLeaseId != 0) {
    // NOTE: If this call fails, the lease expires by itself.
    (void)mStore.mRevokeLease(mLeaseId);
    mLeaseId = 0;
    mRecordWritten = false;
  }
}

} // namespace Acaciavale
