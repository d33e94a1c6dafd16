#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

/// Counters, gauges and quantiles, served at the operators' address.
namespace Acaciavale {

/// Label values by label name, such as account and model.
using MetricLabels = std::map<std::string, std::string>;

/// All metrics of one process, in shards with separate locks. The number of
/// label sets per metric name is bounded; further label sets are counted under
/// "other".
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Increments a counter.
  void Count(const std::string& aName,
             const MetricLabels& aLabels,
             double aIncrement = 1);
  /// Sets a gauge.
  void SetGauge(const std::string& aName,
                const MetricLabels& aLabels,
                double aValue);
  /// Adds a value to a summary with quantiles.
  void Observe(const std::string& aName,
               const MetricLabels& aLabels,
               double aValue);

  /// Renders all metrics in the Prometheus text format.
  std::string Text() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
