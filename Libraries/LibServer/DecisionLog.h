#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRouting/VersionChoice.h>

#include <array>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Acaciavale {

/// One dispatch of a request to one endpoint.
struct AttemptRecord
{
  CascadeStage mStage;
  std::string mEndpointName;
  std::string mReason;
  std::string mOutcome;
};

/// What an inspector reads of one request: the decision, the candidates, where
/// it was sent, how it ended and what it cost.
struct DecisionRecord
{
  std::string mRequestId;
  UnixMilliseconds mTime{};
  RequestProfile mProfile;
  VersionDecision mDecision;
  std::int64_t mSettingsGeneration = 0;
  std::vector<AttemptRecord> mAttempts;
  std::string mOutcome;
  Money mCharge;
  std::string mClaimVerdict; ///< The claim's verdict, for calls that have one.
};

/// The newest decisions of this VM, bounded, in shards each under its own lock.
class DecisionLog
{
public:
  void Add(DecisionRecord aRecord);
  std::optional<DecisionRecord> Find(const std::string& aRequestId) const;

private:
  static constexpr std::size_t kShards = 8;

  struct Shard
  {
    mutable std::mutex mLock;
    std::deque<std::string> mInsertionOrder;
    std::unordered_map<std::string, DecisionRecord> mRecords;
  };

  const Shard& ShardOf(const std::string& aRequestId) const;

  std::array<Shard, kShards> mShards;
};

} // namespace Acaciavale
