#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRouting/Evidence.h>

#include <memory>

/// Thread-safe store of evidence with exponential decay. It is sharded by key,
/// with one lock per shard.
namespace Acaciavale {

/// Measurements of one answer.
struct AnswerEvidence
{
  bool mFailed = false;    ///< The answer failed at the endpoint.
  bool mEscalated = false; ///< The request went on to the next stage.
  double mFirstTokenSeconds = 0;
  double mOutputTokens = 0;

  auto operator<=>(const AnswerEvidence&) const = default;
};

/// Time after which a count has decayed to half.
constexpr Duration kEvidenceHalfLife = std::chrono::minutes(30);

class EvidenceStore
{
public:
  explicit EvidenceStore(Duration aHalfLife = kEvidenceHalfLife);
  ~EvidenceStore();

  void RecordAnswer(const EvidenceKey& aKey,
                    const AnswerEvidence& aAnswer,
                    TimePoint aNow);
  /// Ratings can arrive long after the answer. Their decay starts at aNow.
  void RecordRating(const EvidenceKey& aKey, bool aGood, TimePoint aNow);

  /// Adds a report of a peer. Each report must be merged exactly once.
  void Merge(const EvidenceView& aReport, TimePoint aNow);
  /// Returns and clears the evidence that this VM itself has recorded since the
  /// last call, to be sent to its peers.
  EvidenceView TakeReport();

  /// Returns own and merged evidence, decayed to aNow. Cells with negligible
  /// counts are omitted.
  EvidenceView Snapshot(TimePoint aNow) const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
