#pragma once

#include "Recording.h"
#include "Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Acaciavale::History {

struct DriverOptions
{
  std::vector<std::string> mVmFiles; ///< Announce files of the VMs.
  std::vector<Account> mAccounts;
  std::uint64_t mSeed = 1;
  int mThreadCount = 8;
  /// Answered calls after which the driver ends; 0: no limit.
  int mAnswerLimit = 0;
  std::string mStopFile; ///< The driver ends once this file exists.
};

/// Simulates callers with seeded random requests: chat requests with and
/// without streaming, on models and cascades, in sessions; repeatable service
/// calls; and non-repeatable service calls, each sent twice with the same
/// idempotency key through randomly chosen VMs. Blocks until the answer limit
/// is reached or the stop file exists.
Recording RunCallers(const DriverOptions& aOptions);

} // namespace Acaciavale::History
