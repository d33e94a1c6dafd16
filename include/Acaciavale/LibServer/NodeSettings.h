#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Time.h>

#include <optional>
#include <string>

/// The settings of one process: its addresses and its place. Everything that
/// the operators decide for the whole deployment is in the settings tree.
namespace Acaciavale {

struct NodeSettings
{
  std::string mVmName;
  std::string mFailureDomain;
  std::int64_t mWeight = 1;       ///< Size of the VM, against the others.
  std::size_t mCallerThreads = 2; ///< Threads that serve callers.
  std::string mCallerAddress = "127.0.0.1:0";
  std::string mOperatorAddress = "127.0.0.1:0";
  std::string mPeerAddress = "127.0.0.1:0";
  std::string mKeyValueAddress;
  std::string mEndpointListAddress;
  std::string mRatingsAddress; ///< Empty: no ratings.
  std::string mWeightsAddress; ///< Empty: no loads are ordered.
  double mKeyValueCallsPerSecond = 20;
  LogLevel mLogLevel = LogLevel::Info;
  LogFormat mLogFormat = LogFormat::Text;
  std::string mOperatorCredentialSalt; ///< Of the operators' credential.
  std::string
    mOperatorCredentialHash; ///< Empty: the operators' address is open.

  auto operator<=>(const NodeSettings&) const = default;
};

struct NodeSettingsResult
{
  std::optional<NodeSettings> mSettings;
  Findings mFindings;
};

/// Reads a process's INI file; every finding is reported.
NodeSettingsResult ParseNodeSettings(const std::string& aFileName,
                                     const std::string& aContents);

} // namespace Acaciavale
