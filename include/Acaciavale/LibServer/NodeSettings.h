#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Time.h>

#include <optional>
#include <string>

/// Settings of one process: its addresses and its location. Settings of the
/// whole deployment are in the settings tree.
namespace Acaciavale {

struct NodeSettings
{
  std::string mVmName;
  std::string mFailureDomain;
  std::int64_t mWeight = 1;       ///< Capacity relative to the other VMs.
  std::size_t mCallerThreads = 2; ///< Number of threads that serve callers.
  std::string mCallerAddress = "127.0.0.1:0";
  std::string mOperatorAddress = "127.0.0.1:0";
  std::string mPeerAddress = "127.0.0.1:0";
  std::string mKeyValueAddress;
  std::string mEndpointListAddress;
  std::string mRatingsAddress; ///< Rating service; empty disables ratings.
  /// Weight store; if empty, load orders are sent without asking it.
  std::string mWeightsAddress;
  double mKeyValueCallsPerSecond = 20;
  LogLevel mLogLevel = LogLevel::Info;
  LogFormat mLogFormat = LogFormat::Text;
  std::string mOperatorCredentialSalt;
  /// Salted hash of the operator credential; if empty, requests to the operator
  /// address are not authenticated.
  std::string mOperatorCredentialHash;

  auto operator<=>(const NodeSettings&) const = default;
};

struct NodeSettingsResult
{
  std::optional<NodeSettings> mSettings;
  Findings mFindings;
};

/// Parses the INI file of a process. Reports all findings, not only the first.
NodeSettingsResult ParseNodeSettings(const std::string& aFileName,
                                     const std::string& aContents);

} // namespace Acaciavale
