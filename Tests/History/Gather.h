#pragma once

#include "Recording.h"

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <map>
#include <string>

namespace Acaciavale::History {

struct GatherOptions
{
  std::string mStandInsFile; ///< Their announce file.
  Duration mDrainingGrace{}; ///< From a leaving until it must be known.
};

/// How often each kind of fault was set, by "part: fault".
using FaultCounts = std::map<std::string, int>;

/// The history of a recording, with runs, withdrawals and writes from the
/// control port of the stand-ins, and bills from the key-value service. Throws
/// std::exception where one of them can't be had.
History GatherHistory(const GatherOptions& aOptions,
                      const Settings& aSettings,
                      Recording aRecording);

FaultCounts CountFaults(const std::string& aStandInsFile);

/// The bills as they stand now.
std::map<std::string, Bill> FetchBills(const std::string& aStandInsFile);

} // namespace Acaciavale::History
