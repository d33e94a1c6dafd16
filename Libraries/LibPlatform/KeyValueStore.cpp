#include <Acaciavale/LibPlatform/KeyValueStore.h>

namespace Acaciavale {

namespace {

constexpr int kWriteAttempts = 3;

bool IsCode(const Error& aError, ErrorCode aCode)
{
  return aError.mCode == aCode;
}

} // namespace

ErrorOr<std::int64_t> WriteResolved(const KeyValueStore& aStore,
                                    const CompareAndSwap& aWrite)
{
  bool unknown = false;
  for (int attempt = 0; attempt < kWriteAttempts; ++attempt) {
    ErrorOr<std::int64_t> written = aStore.mCompareAndSwap(aWrite);
    if (written) {
      return written;
    }
    if (!unknown && !IsCode(written.error(), ErrorCode::OutcomeUnknown)) {
      return written;
    }
    unknown = true;
    const ErrorOr<std::optional<KeyValueEntry>> read =
      aStore.mRead(aWrite.mKey);
    if (!read) {
      continue;
    }
    if (*read && (*read)->mValue == aWrite.mValue) {
      return (*read)->mRevision;
    }
    const std::int64_t revision = *read ? (*read)->mRevision : 0;
    if (revision != aWrite.mExpectedRevision) {
      return MakeError(ErrorCode::Conflict,
                       "Another writer changed the record.");
    }
    // NOTE: The request may have been lost or may still arrive. It is safe to
    //       write again, since only one of the two writes can take effect.
  }
  return MakeError(
    ErrorCode::OutcomeUnknown,
    "The response to a write was lost and its outcome could not be "
    "determined.");
}

} // namespace Acaciavale
