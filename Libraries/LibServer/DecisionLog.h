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

/// One attempt of a request at an endpoint.
struct AttemptRecord
{
  CascadeStage mStage;
  std::string mEndpointName;
  std::string mReason;
  std::string mOutcome;
};

/// Record of one request for the operators: the decision with its candidates,
/// the attempts, the outcome and the cost.
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
  std::string mClaimVerdict; ///< Empty if the request needed no claim.
};

/// The most recent decisions of this VM, up to a fixed number. Divided into
/// shards with a lock each. Thread-safe.
class DecisionLog
{
public:
  void Add(DecisionRecord aRecord);
  std::optional<DecisionRecord> Find(const std::string& aRequestId) const;

private:
  static constexpr std::size_t kShardCount = 8;

  struct Shard
  {
    mutable std::mutex mLock;
    std::deque<std::string> mInsertionOrder;
    std::unordered_map<std::string, DecisionRecord> mRecords;
  };

  const Shard& ShardOf(const std::string& aRequestId) const;

  std::array<Shard, kShardCount> mShards;
};

} // namespace Acaciavale
