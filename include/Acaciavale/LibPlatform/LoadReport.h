#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Load reports of endpoints. A report lags behind the actual load.
namespace Acaciavale {

/// A prompt prefix was added to an engine's cache or evicted from it. Event
/// numbers are consecutive; a gap means that an event was lost.
struct PrefixEvent
{
  std::uint64_t mNumber = 0;
  std::uint64_t mPrefixHash = 0; ///< Result of PromptPrefixHash.
  bool mStored = false; ///< Whether the prefix was added; otherwise evicted.

  auto operator<=>(const PrefixEvent&) const = default;
};

struct LoadReport
{
  std::int32_t mInFlight = 0; ///< Running requests of all clients.
  std::int32_t mQueued = 0;   ///< Requests waiting for a slot.
  std::int32_t mSlots = 1;    ///< Maximum number of running requests.
  bool mLeaving = false;      ///< Draining: accepts no new requests.
  std::vector<LoadedVersion> mLoaded;
  std::vector<PrefixEvent> mPrefixEvents; ///< The most recent events.

  auto operator<=>(const LoadReport&) const = default;
};

/// Fetches the report of the endpoint at this IP address and port; blocks up to
/// the timeout.
ErrorOr<LoadReport> FetchLoadReport(const std::string& aAddress,
                                    Duration aTimeout);

/// Size of the first prompt block that engines cache as a unit.
constexpr std::size_t kPrefixBlockBytes = 256;

/// Hash of a prompt's first block, computed alike by engines and routers. The
/// prompt consists of the contents of all messages, each followed by a line
/// feed.
std::uint64_t PromptPrefixHash(std::string_view aPrompt);

} // namespace Acaciavale
