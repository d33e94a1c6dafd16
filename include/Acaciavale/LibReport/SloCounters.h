#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Counters of good and total events per service-level objective, by account
/// and model, in time buckets. Each VM stores its own counters; the burn report
/// sums the counters of all VMs, including VMs that have stopped.
namespace Acaciavale {

enum class SloKind
{
  Availability,
  FirstToken,
  BetweenTokens,
  Quality,
};

constexpr std::size_t kSloKinds = 4;

/// All kinds in declaration order, for iteration.
constexpr std::array<SloKind, kSloKinds> kAllSloKinds{ SloKind::Availability,
                                                       SloKind::FirstToken,
                                                       SloKind::BetweenTokens,
                                                       SloKind::Quality };

std::string NameOf(SloKind aKind);

/// The number of events, and how many of them met the objective.
struct SloTally
{
  std::int64_t mGood = 0;
  std::int64_t mTotal = 0;

  std::int64_t Bad() const { return mTotal - mGood; }

  auto operator<=>(const SloTally&) const = default;
};

/// Tallies by kind for one time interval.
struct SloBucket
{
  UnixMilliseconds mStart{};
  UnixMilliseconds mWidth{};
  std::array<SloTally, kSloKinds> mTallies{};

  auto operator<=>(const SloBucket&) const = default;
};

/// All buckets of one account and model, ordered by start time.
struct SloCell
{
  std::string mAccount;
  std::string mModel;
  std::vector<SloBucket> mBuckets;

  auto operator<=>(const SloCell&) const = default;
};

/// The outcome and latencies of one request. The latencies are empty if no
/// token was received.
struct SloSample
{
  std::string mAccount;
  std::string mModel;     ///< As named by the caller: a model or a cascade.
  bool mAnswered = false; ///< Whether the answer was complete, or the request
                          ///< refused for the caller's own limits or errors.
  std::optional<Duration> mFirstToken;
  std::optional<Duration> mBetweenTokens; ///< Mean time between tokens.

  auto operator<=>(const SloSample&) const = default;
};

/// Returns the most specific objective for an account and model: one that names
/// both, else one that names either, else one that names neither. Returns the
/// defaults if no objective matches.
ObjectiveSettings FindObjective(const Settings& aSettings,
                                const std::string& aAccount,
                                const std::string& aModel);

/// The counters of one VM, in shards with separate locks. The number of cells
/// is bounded; further accounts and models are counted under "other".
class SloCounters
{
public:
  SloCounters();
  ~SloCounters();
  SloCounters(const SloCounters&) = delete;
  SloCounters& operator=(const SloCounters&) = delete;

  void Record(const ObjectiveSettings& aObjective,
              const SloSample& aSample,
              UnixMilliseconds aNow);
  void RecordRating(const std::string& aAccount,
                    const std::string& aModel,
                    bool aGood,
                    UnixMilliseconds aNow);

  /// Coarsens old buckets, drops buckets older than the budget period and
  /// returns all cells.
  std::vector<SloCell> Cells(UnixMilliseconds aNow);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// The length of the error budget period.
constexpr UnixMilliseconds kBudgetPeriod = std::chrono::hours(28 * 24);

/// Merges old buckets into wider ones: buckets up to six hours old keep their
/// width, usually five minutes; buckets up to three days old get one hour;
/// older buckets get one day. Drops buckets older than the budget period.
std::vector<SloBucket> Coarsened(const std::vector<SloBucket>& aBuckets,
                                 UnixMilliseconds aNow);

/// Merges the cells of several VMs by account and model.
std::vector<SloCell> Merged(const std::vector<std::vector<SloCell>>& aCellSets);

std::string SerialiseCells(const std::vector<SloCell>& aCells);
ErrorOr<std::vector<SloCell>> ParseCells(const std::string& aText);

} // namespace Acaciavale
