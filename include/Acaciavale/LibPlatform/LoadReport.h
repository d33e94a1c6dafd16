#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibPlatform/EndpointList.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What an endpoint reports of its load, with a lag.
namespace Acaciavale {

/// A prefix of prompts came into an engine's cache or left it. Numbers rise by
/// one; a gap means that an event was lost.
struct PrefixEvent
{
  std::uint64_t mNumber = 0;
  std::uint64_t mPrefixHash = 0; ///< As PromptPrefixHash gives it.
  bool mStored = false;          ///< Otherwise evicted.

  auto operator<=>(const PrefixEvent&) const = default;
};

struct LoadReport
{
  std::int32_t mInFlight = 0; ///< Requests that run, everybody's.
  std::int32_t mQueued = 0;   ///< Requests that wait for a slot.
  std::int32_t mSlots = 1;
  bool mLeaving = false;
  std::vector<LoadedVersion> mLoaded;
  std::vector<PrefixEvent> mPrefixEvents; ///< The newest ones.

  auto operator<=>(const LoadReport&) const = default;
};

/// Asks one endpoint, by IP number and port; blocks up to the deadline.
ErrorOr<LoadReport> FetchLoadReport(const std::string& aAddress,
                                    Duration aTimeout);

/// Bytes at the start of a prompt that engines cache as one block.
constexpr std::size_t kPrefixBlockBytes = 256;

/// The name of a prompt's first block, the same for engines and routers. The
/// prompt is the contents of all messages, each followed by a line feed.
std::uint64_t PromptPrefixHash(std::string_view aPrompt);

} // namespace Acaciavale
