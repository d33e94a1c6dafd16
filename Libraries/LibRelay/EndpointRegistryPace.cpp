#include <Acaciavale/LibRelay/EndpointRegistry.h>

#include <algorithm>

/// The part of EndpointRegistry for the current speed of endpoints and the
/// candidates that are queried for it.
namespace Acaciavale::Relay {

std::vector<std::uint32_t> IndicesOf(
  const std::vector<const Endpoint*>& aOnly,
  const std::vector<std::shared_ptr<Endpoint>>& aAll)
{
  std::vector<std::uint32_t> indices;
  for (std::uint32_t index = 0; index < aAll.size(); ++index) {
    if (std::find(aOnly.begin(), aOnly.end(), aAll[index].get()) !=
        aOnly.end()) {
      indices.push_back(index);
    }
  }
  if (!aOnly.empty() && indices.empty()) {
    indices.push_back(static_cast<std::uint32_t>(aAll.size()));
  }
  return indices;
}

bool EndpointRegistry::ReportsPace(const std::string& aPool) const
{
  return mPaceHistories.contains(aPool);
}

void EndpointRegistry::RecordPace(Endpoint& aEndpoint,
                                  const ReportedLoad& aLoad,
                                  TimePoint aNow)
{
  if (aLoad.mPace) {
    aEndpoint.mPace = WithFigure(aEndpoint.mPace,
                                 *aLoad.mPace,
                                 aNow,
                                 mPaceHistories[aEndpoint.mRecord.mPool]);
  }
}

double EndpointRegistry::PaceFactorOf(const Endpoint& aEndpoint,
                                      TimePoint aNow) const
{
  const auto history = mPaceHistories.find(aEndpoint.mRecord.mPool);
  return history == mPaceHistories.end()
           ? 1
           : PaceFactor(aEndpoint.mPace, history->second, aNow);
}

} // namespace Acaciavale::Relay
