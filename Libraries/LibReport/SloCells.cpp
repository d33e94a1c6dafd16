#include <Acaciavale/LibReport/SloCounters.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr UnixMilliseconds kHour = std::chrono::hours(1);
constexpr UnixMilliseconds kDay = std::chrono::hours(24);
constexpr UnixMilliseconds kFineRetention = std::chrono::hours(6);
constexpr UnixMilliseconds kHourlyRetention = std::chrono::hours(72);

/// Returns the bucket widened to the width for its age.
SloBucket Rebucketed(SloBucket aBucket, UnixMilliseconds aNow)
{
  const UnixMilliseconds age = aNow - aBucket.mStart;
  const UnixMilliseconds width =
    age > kHourlyRetention ? kDay
                           : (age > kFineRetention ? kHour : aBucket.mWidth);
  // NOTE: A bucket never becomes narrower, even if the clock steps back.
  aBucket.mWidth = std::max(aBucket.mWidth, width);
  aBucket.mStart -= aBucket.mStart % aBucket.mWidth;
  return aBucket;
}

void AddTallies(SloBucket& aTo, const SloBucket& aFrom)
{
  for (std::size_t kind = 0; kind < kSloKinds; ++kind) {
    aTo.mTallies[kind].mGood += aFrom.mTallies[kind].mGood;
    aTo.mTallies[kind].mTotal += aFrom.mTallies[kind].mTotal;
  }
}

using BucketMap =
  std::map<std::pair<UnixMilliseconds, UnixMilliseconds>, SloBucket>;

void AddBucket(BucketMap& aBuckets, const SloBucket& aBucket)
{
  const auto [found, isNew] =
    aBuckets.insert({ { aBucket.mStart, aBucket.mWidth }, aBucket });
  if (!isNew) {
    AddTallies(found->second, aBucket);
  }
}

std::vector<SloBucket> ValuesOf(const BucketMap& aBuckets)
{
  std::vector<SloBucket> buckets;
  buckets.reserve(aBuckets.size());
  for (const auto& [key, bucket] : aBuckets) {
    buckets.push_back(bucket);
  }
  return buckets;
}

/// Converts to minutes. Starts and widths of buckets are whole minutes.
std::int64_t Minutes(UnixMilliseconds aTime)
{
  return std::chrono::duration_cast<std::chrono::minutes>(aTime).count();
}

Json BucketJson(const SloBucket& aBucket)
{
  Json fields = { Minutes(aBucket.mStart), Minutes(aBucket.mWidth) };
  for (const SloTally& tally : aBucket.mTallies) {
    fields.push_back(tally.mGood);
    fields.push_back(tally.mTotal);
  }
  return fields;
}

SloBucket ParseBucket(const Json& aFields)
{
  SloBucket bucket;
  bucket.mStart = std::chrono::minutes(aFields.at(0).get<std::int64_t>());
  bucket.mWidth = std::chrono::minutes(aFields.at(1).get<std::int64_t>());
  for (std::size_t kind = 0; kind < kSloKinds; ++kind) {
    bucket.mTallies[kind].mGood = aFields.at(2 + 2 * kind).get<std::int64_t>();
    bucket.mTallies[kind].mTotal = aFields.at(3 + 2 * kind).get<std::int64_t>();
  }
  return bucket;
}

bool IsValid(const SloBucket& aBucket)
{
  return aBucket.mWidth.count() > 0 &&
         std::all_of(aBucket.mTallies.begin(),
                     aBucket.mTallies.end(),
                     [](const SloTally& aTally) {
                       return aTally.mGood >= 0 &&
                              aTally.mGood <= aTally.mTotal;
                     });
}

SloCell ParseCell(const Json& aJson)
{
  SloCell cell{ aJson.at("account"), aJson.at("model"), {} };
  for (const Json& fields : aJson.at("buckets")) {
    cell.mBuckets.push_back(ParseBucket(fields));
  }
  return cell;
}

} // namespace

std::string NameOf(SloKind aKind)
{
  switch (aKind) {
    case SloKind::Availability:
      return "availability";
    case SloKind::FirstToken:
      return "first-token";
    case SloKind::BetweenTokens:
      return "between-tokens";
    case SloKind::Quality:
      return "quality";
  }
  return "";
}

ObjectiveSettings FindObjective(const Settings& aSettings,
                                const std::string& aAccount,
                                const std::string& aModel)
{
  ObjectiveSettings best;
  int bestRank = -1;
  for (const ObjectiveSettings& objective : aSettings.mObjectives) {
    const bool fits =
      (objective.mAccount.empty() || objective.mAccount == aAccount) &&
      (objective.mModel.empty() || objective.mModel == aModel);
    const int rank = static_cast<int>(!objective.mAccount.empty()) +
                     static_cast<int>(!objective.mModel.empty());
    if (fits && rank > bestRank) {
      best = objective;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<SloBucket> Coarsened(const std::vector<SloBucket>& aBuckets,
                                 UnixMilliseconds aNow)
{
  BucketMap buckets;
  for (const SloBucket& bucket : aBuckets) {
    if (bucket.mStart + bucket.mWidth > aNow - kBudgetPeriod) {
      AddBucket(buckets, Rebucketed(bucket, aNow));
    }
  }
  return ValuesOf(buckets);
}

std::vector<SloCell> Merged(const std::vector<std::vector<SloCell>>& aCellSets)
{
  std::map<std::pair<std::string, std::string>, BucketMap> cells;
  for (const auto& cellSet : aCellSets) {
    for (const SloCell& cell : cellSet) {
      BucketMap& buckets = cells[{ cell.mAccount, cell.mModel }];
      for (const SloBucket& bucket : cell.mBuckets) {
        AddBucket(buckets, bucket);
      }
    }
  }
  std::vector<SloCell> merged;
  merged.reserve(cells.size());
  for (const auto& [name, buckets] : cells) {
    merged.push_back({ name.first, name.second, ValuesOf(buckets) });
  }
  return merged;
}

std::string SerialiseCells(const std::vector<SloCell>& aCells)
{
  Json cells = Json::array();
  for (const SloCell& cell : aCells) {
    Json buckets = Json::array();
    for (const SloBucket& bucket : cell.mBuckets) {
      buckets.push_back(BucketJson(bucket));
    }
    cells.push_back({ { "account", cell.mAccount },
                      { "model", cell.mModel },
                      { "buckets", buckets } });
  }
  return Json{ { "cells", cells } }.dump(
    -1, ' ', false, Json::error_handler_t::replace);
}

ErrorOr<std::vector<SloCell>> ParseCells(const std::string& aText)
{
  std::vector<SloCell> cells;
  try {
    const Json record = Json::parse(aText);
    for (const Json& cell : record.at("cells")) {
      cells.push_back(ParseCell(cell));
    }
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::Invalid,
                     "The record of service-level counters is malformed.");
  }
  for (const SloCell& cell : cells) {
    if (!std::all_of(cell.mBuckets.begin(), cell.mBuckets.end(), IsValid)) {
      return MakeError(
        ErrorCode::Invalid,
        "The record of service-level counters has invalid values.");
    }
  }
  return cells;
}

} // namespace Acaciavale
