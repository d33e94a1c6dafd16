#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRouting/Evidence.h>

#include <memory>

/// Keeps evidence in shards by key, each under its own lock, and ages it.
namespace Acaciavale {

/// One answer as the router saw it.
struct AnswerEvidence
{
  bool mFailed = false;
  bool mEscalated = false; ///< The next stage of the cascade ran.
  double mFirstTokenSeconds = 0;
  double mOutputTokens = 0;

  auto operator<=>(const AnswerEvidence&) const = default;
};

/// Half of a count is forgotten after this time.
constexpr Duration kEvidenceHalfLife = std::chrono::minutes(30);

class EvidenceStore
{
public:
  explicit EvidenceStore(Duration aHalfLife = kEvidenceHalfLife);
  ~EvidenceStore();

  void RecordAnswer(const EvidenceKey& aKey,
                    const AnswerEvidence& aAnswer,
                    TimePoint aNow);
  /// Ratings come late; each counts from when it comes.
  void RecordRating(const EvidenceKey& aKey, bool aGood, TimePoint aNow);

  /// Adds what a peer recorded. Each report must be merged once.
  void Merge(const EvidenceView& aReport, TimePoint aNow);
  /// What this VM itself recorded since the last call, for its peers.
  EvidenceView TakeReport();

  /// Own and merged evidence, aged to now; cells that faded away are left out.
  EvidenceView Snapshot(TimePoint aNow) const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
