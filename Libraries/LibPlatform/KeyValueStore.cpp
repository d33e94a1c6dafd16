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
      return MakeError(ErrorCode::Conflict, "Another writer won.");
    }
    // NOTE: The request itself may have been lost, or be on its way still. To
    //       write again is safe: only one of the two can take effect.
  }
  return MakeError(ErrorCode::OutcomeUnknown,
                   "The answer was lost and the record can't be read.");
}

} // namespace Acaciavale
