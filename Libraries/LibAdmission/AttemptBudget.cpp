#include <Acaciavale/LibAdmission/Admission.h>

#include <algorithm>
#include <atomic>

namespace Acaciavale {

namespace {

/// Attempts are counted in thousandths, so that fractions add up exactly.
constexpr std::int64_t kUnitsPerAttempt = 1000;
/// Maximum number of unused attempts that accumulate.
constexpr std::int64_t kMaxSavedAttempts = 10;

} // namespace

struct AttemptBudget::Private
{
  std::atomic<std::int64_t> mUnits{ 0 };
};

AttemptBudget::AttemptBudget()
  : mPrivate(std::make_unique<Private>())
{
}

AttemptBudget::~AttemptBudget() = default;

void AttemptBudget::RecordRequest(double aAttemptsPerRequest)
{
  const auto earned =
    static_cast<std::int64_t>(std::clamp(aAttemptsPerRequest, 0.0, 1.0) *
                              static_cast<double>(kUnitsPerAttempt));
  std::int64_t units = mPrivate->mUnits.load();
  std::int64_t next = 0;
  do {
    next = std::min(units + earned, kMaxSavedAttempts * kUnitsPerAttempt);
  } while (!mPrivate->mUnits.compare_exchange_weak(units, next));
}

bool AttemptBudget::TrySpend()
{
  std::int64_t units = mPrivate->mUnits.load();
  while (units >= kUnitsPerAttempt) {
    if (mPrivate->mUnits.compare_exchange_weak(units,
                                               units - kUnitsPerAttempt)) {
      return true;
    }
  }
  return false;
}

} // namespace Acaciavale
