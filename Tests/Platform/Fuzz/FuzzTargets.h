#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Code that reads bytes from outside, to be run on mutated inputs.
namespace Acaciavale::Fuzz {

struct FuzzTarget
{
  std::string mName;
  std::vector<std::string> mSeeds; ///< Valid inputs.
  /// Reads the input. aSplit varies the places at which it arrives in parts.
  std::function<void(std::string_view aInput, std::uint64_t aSplit)> mRun;
};

/// Requests, responses, bodies in chunks, trailers and events.
std::vector<FuzzTarget> HttpTargets();
/// A caller's connection to a listener, and a call to an endpoint.
std::vector<FuzzTarget> ConnectionTargets();
/// Entries of the store, messages between VMs, and settings.
std::vector<FuzzTarget> CodecTargets();

/// Calls aUse with the parts of the input, one after the other.
void ForEachPart(std::string_view aInput,
                 std::uint64_t aSplit,
                 const std::function<void(std::string_view)>& aUse);

} // namespace Acaciavale::Fuzz
