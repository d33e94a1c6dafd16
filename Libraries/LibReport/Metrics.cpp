#include <Acaciavale/LibReport/Metrics.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <functional>
#include <mutex>
#include <set>
#include <sstream>

namespace Acaciavale {

namespace {

namespace Accumulators = boost::accumulators;

constexpr std::size_t kShards = 16;
constexpr std::size_t kMaxLabelSetsPerName = 512;
constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.95, 0.99 };

using Distribution = Accumulators::accumulator_set<
  double,
  Accumulators::stats<Accumulators::tag::count,
                      Accumulators::tag::sum,
                      Accumulators::tag::extended_p_square>>;

Distribution MakeDistribution()
{
  return Distribution(Accumulators::extended_p_square_probabilities =
                        kQuantiles);
}

std::string Escape(const std::string& aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '\\' || character == '"') {
      escaped.push_back('\\');
      escaped.push_back(character);
    } else if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

std::string RenderLabels(const MetricLabels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += (text.empty() ? "" : ",") + name + "=\"" + Escape(value) + "\"";
  }
  return text;
}

std::string InBraces(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

MetricLabels OverflowLabels(const MetricLabels& aLabels)
{
  MetricLabels labels = aLabels;
  for (auto& [name, value] : labels) {
    value = "other";
  }
  return labels;
}

/// A metric name with its rendered labels.
using Series = std::pair<std::string, std::string>;

struct Shard
{
  mutable std::mutex mLock;
  std::map<Series, double> mCounters;
  std::map<Series, double> mGauges;
  std::map<Series, Distribution> mDistributions;
  std::map<std::string, std::size_t> mLabelSets;
};

template<typename Values, typename Make>
auto& FindOrCreate(Shard& aShard,
                   Values& aValues,
                   const std::string& aName,
                   const MetricLabels& aLabels,
                   Make aCreate)
{
  const Series series{ aName, RenderLabels(aLabels) };
  const auto found = aValues.find(series);
  if (found != aValues.end()) {
    return found->second;
  }
  std::size_t& sets = aShard.mLabelSets[aName];
  if (sets >= kMaxLabelSetsPerName / kShards) {
    return aValues
      .try_emplace({ aName, RenderLabels(OverflowLabels(aLabels)) }, aCreate())
      .first->second;
  }
  ++sets;
  return aValues.try_emplace(series, aCreate()).first->second;
}

std::string FormatNumber(double aValue)
{
  std::ostringstream text;
  text.precision(12);
  text << aValue;
  return text.str();
}

} // namespace

struct Metrics::Private
{
  std::array<Shard, kShards> mShards;

  Shard& ShardOf(const MetricLabels& aLabels)
  {
    std::size_t hash = 0;
    for (const auto& [name, value] : aLabels) {
      hash = hash * 31 + std::hash<std::string>{}(value);
    }
    return mShards[hash % kShards];
  }
};

Metrics::Metrics()
  : mPrivate(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::Count(const std::string& aName,
                    const MetricLabels& aLabels,
                    double aIncrement)
{
  Shard& shard = mPrivate->ShardOf(aLabels);
  const std::lock_guard guard(shard.mLock);
  FindOrCreate(shard, shard.mCounters, aName, aLabels, [] { return 0.0; }) +=
    aIncrement;
}

void Metrics::SetGauge(const std::string& aName,
                       const MetricLabels& aLabels,
                       double aValue)
{
  Shard& shard = mPrivate->ShardOf(aLabels);
  const std::lock_guard guard(shard.mLock);
  FindOrCreate(shard, shard.mGauges, aName, aLabels, [] { return 0.0; }) =
    aValue;
}

void Metrics::Observe(const std::string& aName,
                      const MetricLabels& aLabels,
                      double aValue)
{
  Shard& shard = mPrivate->ShardOf(aLabels);
  const std::lock_guard guard(shard.mLock);
  FindOrCreate(shard, shard.mDistributions, aName, aLabels, &MakeDistribution)(
    aValue);
}

std::string Metrics::Text() const
{
  // Group the lines by metric name across all shards.
  std::map<std::string, std::string> blocks;
  const auto add = [&blocks](const std::string& aName,
                             const char* aType,
                             const std::string& aLine) {
    std::string& block = blocks[aName];
    if (block.empty()) {
      block = "# TYPE " + aName + " " + aType + "\n";
    }
    block += aLine + "\n";
  };
  for (const Shard& shard : mPrivate->mShards) {
    const std::lock_guard guard(shard.mLock);
    for (const auto& [series, value] : shard.mCounters) {
      add(series.first,
          "counter",
          series.first + InBraces(series.second) + " " + FormatNumber(value));
    }
    for (const auto& [series, value] : shard.mGauges) {
      add(series.first,
          "gauge",
          series.first + InBraces(series.second) + " " + FormatNumber(value));
    }
    for (const auto& [series, values] : shard.mDistributions) {
      const auto& [name, labels] = series;
      const std::string comma = labels.empty() ? "" : ",";
      for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
        std::string line = name;
        line.append("{").append(labels).append(comma).append("quantile=\"");
        line.append(FormatNumber(kQuantiles[index])).append("\"} ");
        line.append(
          FormatNumber(Accumulators::extended_p_square(values)[index]));
        add(name, "summary", line);
      }
      add(name,
          "summary",
          name + "_sum" + InBraces(labels) + " " +
            FormatNumber(Accumulators::sum(values)));
      add(name,
          "summary",
          name + "_count" + InBraces(labels) + " " +
            std::to_string(Accumulators::count(values)));
    }
  }
  std::string text;
  for (const auto& [name, block] : blocks) {
    text += block;
  }
  return text;
}

} // namespace Acaciavale
