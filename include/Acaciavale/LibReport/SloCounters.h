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

/// Counters of how far the service-level objectives were met, per account and
/// model, in buckets of time. Each VM keeps its own and stores them; the burn
/// report adds up those of all VMs, also of VMs that are gone.
namespace Acaciavale {

enum class SloKind
{
  Availability,
  FirstToken,
  BetweenTokens,
  Quality,
};

constexpr std::size_t kSloKinds = 4;

/// The kinds in order, for loops.
constexpr std::array<SloKind, kSloKinds> kAllSloKinds{ SloKind::Availability,
                                                       SloKind::FirstToken,
                                                       SloKind::BetweenTokens,
                                                       SloKind::Quality };

std::string NameOf(SloKind aKind);

/// How many events there were, and how many of them met the objective.
struct SloTally
{
  std::int64_t mGood = 0;
  std::int64_t mTotal = 0;

  std::int64_t Bad() const { return mTotal - mGood; }

  auto operator<=>(const SloTally&) const = default;
};

/// Tallies by kind over one stretch of time.
struct SloBucket
{
  UnixMilliseconds mStart{};
  UnixMilliseconds mWidth{};
  std::array<SloTally, kSloKinds> mTallies{};

  auto operator<=>(const SloBucket&) const = default;
};

/// All buckets of an account and model, ordered by their start.
struct SloCell
{
  std::string mAccount;
  std::string mModel;
  std::vector<SloBucket> mBuckets;

  auto operator<=>(const SloCell&) const = default;
};

/// What one request was like. Times are absent where no token came.
struct SloSample
{
  std::string mAccount;
  std::string mModel;     ///< As the caller named it: a model or a cascade.
  bool mAnswered = false; ///< A whole answer, or a refusal that the caller's
                          ///< own limits or mistakes brought about.
  std::optional<Duration> mFirstToken;
  std::optional<Duration> mBetweenTokens; ///< Mean over the answer.

  auto operator<=>(const SloSample&) const = default;
};

/// The objective for an account and model: the one that names both, else
/// either, else neither, else the defaults.
ObjectiveSettings FindObjective(const Settings& aSettings,
                                const std::string& aAccount,
                                const std::string& aModel);

/// Counters of one VM, in shards each under its own lock. Accounts and models
/// beyond a bound are counted under "other".
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

  /// All cells, old buckets made coarser and those past the period left out.
  std::vector<SloCell> Cells(UnixMilliseconds aNow);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// The period that an error budget is for.
constexpr UnixMilliseconds kBudgetPeriod = std::chrono::hours(28 * 24);

/// Makes old buckets coarser: five minutes up to six hours ago, an hour up to
/// three days ago, a day up to the budget period. Drops what is older.
std::vector<SloBucket> Coarsened(const std::vector<SloBucket>& aBuckets,
                                 UnixMilliseconds aNow);

/// Adds up the cells of several VMs.
std::vector<SloCell> Merged(const std::vector<std::vector<SloCell>>& aCellSets);

std::string SerialiseCells(const std::vector<SloCell>& aCells);
ErrorOr<std::vector<SloCell>> ParseCells(const std::string& aText);

} // namespace Acaciavale
