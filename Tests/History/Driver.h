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
  int mAnswerLimit =
    0; ///< Answers after which it ends; 0 is no end of its own.
  std::string mStopFile; ///< It ends once this file is there.
};

/// Plays the callers, seeded: streams, whole answers, cascades, sessions,
/// look-ups, and calls that may not be repeated, each of these sent twice with
/// one key by way of two VMs. Blocks until it ends.
Recording RunCallers(const DriverOptions& aOptions);

} // namespace Acaciavale::History
