#pragma once

#include "Recording.h"

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <map>
#include <string>

namespace Acaciavale::History {

struct GatherOptions
{
  std::string mStandInsFile; ///< Announce file of the stand-in servers.
  Duration mDrainingGrace{}; ///< Time for VMs to learn of a draining endpoint.
};

/// Number of injected faults, by name of the fault.
using FaultCounts = std::map<std::string, int>;

/// Combines a recording with the endpoint runs, faults and settings writes from
/// the control port of the stand-in servers, and with the bills from the
/// key-value service. Throws std::exception if any of them cannot be read.
History GatherHistory(const GatherOptions& aOptions,
                      const Settings& aSettings,
                      Recording aRecording);

FaultCounts CountFaults(const std::string& aStandInsFile);

/// Reads the current bills from the key-value service.
std::map<std::string, Bill> FetchBills(const std::string& aStandInsFile);

} // namespace Acaciavale::History
