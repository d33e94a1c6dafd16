#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

/// Counters and quantiles for the operators' address.
namespace Acaciavale {

/// Label names with their values, such as account and model.
using MetricLabels = std::map<std::string, std::string>;

/// All metrics of one process, in shards each under its own lock. Label sets
/// beyond the bound of a name are counted under "other".
class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Count(const std::string& aName,
             const MetricLabels& aLabels,
             double aIncrement = 1);
  void SetGauge(const std::string& aName,
                const MetricLabels& aLabels,
                double aValue);
  void Observe(const std::string& aName,
               const MetricLabels& aLabels,
               double aValue);

  /// The Prometheus text format.
  std::string Text() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
