#pragma once

#include <Acaciavale/LibCore/Random.h>

#include <string>
#include <vector>

namespace Acaciavale::Fuzz {

/// Returns the input with each of its numbers replaced by each value at which
/// number types end.
std::vector<std::string> WithExtremeNumbers(const std::string& aInput);

/// Returns a variation of one of the inputs, which must not be empty.
std::string Mutate(const std::vector<std::string>& aInputs, Random& aRandom);

} // namespace Acaciavale::Fuzz
