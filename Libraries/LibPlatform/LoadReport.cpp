#include "LibPlatform/PlatformJson.h"

#include <Acaciavale/LibPlatform/LoadReport.h>

namespace Acaciavale {

using nlohmann::json;

ErrorOr<LoadReport> FetchLoadReport(const std::string& aAddress,
                                    Duration aTimeout)
{
  const json body =
    ACACIAVALE_TRY(FetchJson("http://" + aAddress + "/v1/load", aTimeout));
  try {
    LoadReport report;
    report.mInFlight = body.at("in_flight").get<std::int32_t>();
    report.mQueued = body.at("queued").get<std::int32_t>();
    report.mSlots = body.at("slots").get<std::int32_t>();
    report.mLeaving = body.value("leaving", false);
    report.mLoaded = LoadedVersionsOf(body);
    for (const json& event : body.value("prefix_events", json::array())) {
      report.mPrefixEvents.push_back({ event.at("number").get<std::uint64_t>(),
                                       event.at("prefix").get<std::uint64_t>(),
                                       event.at("stored").get<bool>() });
    }
    return report;
  } catch (const json::exception&) {
    return MakeError(ErrorCode::Internal, "The load report is malformed.");
  }
}

std::uint64_t PromptPrefixHash(std::string_view aPrompt)
{
  // NOTE: FNV-1a, chosen because engines and routers must implement the same
  //       hash and it is simple.
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char letter : aPrompt.substr(0, kPrefixBlockBytes)) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
  }
  return hash;
}

} // namespace Acaciavale
