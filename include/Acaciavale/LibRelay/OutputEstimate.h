#pragma once

#include <cstdint>
#include <optional>

/// The output and the engine memory that a request is expected to need.
///
/// Load pattern: callers state the maximum output of a request, which is
/// several times what most answers have. Some also state an estimate, which is
/// right at the median and often far off.
namespace Acaciavale::Relay {

/// Mean number of output tokens. aMaximum is the most that the caller accepts,
/// 0 if it does not state it; without an estimate, the maximum applies.
std::int64_t ExpectedOutputTokens(std::int64_t aMaximum,
                                  std::optional<std::int64_t> aEstimate);

/// Number of output tokens that nine of ten answers do not exceed.
std::int64_t LikelyMaximumOutputTokens(std::int64_t aMaximum,
                                       std::optional<std::int64_t> aEstimate);

/// Whether work of aNeededTokens, prompt and output, fits the memory of an
/// engine next to the work of aPlacedTokens that this VM has there. A capacity
/// of 0 is not known. Work that is larger than the engine fits an engine on
/// which this VM has no other work: the estimate may be wrong, and only the
/// engine can tell.
bool FitsEngineMemory(std::int64_t aPlacedTokens,
                      std::int64_t aNeededTokens,
                      std::int64_t aCapacity);

} // namespace Acaciavale::Relay
