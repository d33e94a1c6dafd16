#pragma once

#include <cstdint>
#include <string>

/// Seeded random number generator, small enough to be passed into every
/// decision.
namespace Acaciavale {

/// SplitMix64 generator. The same seed yields the same sequence on every
/// machine.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  std::uint64_t Next();

  /// Returns a uniformly distributed number in [0, aBound). aBound must not be
  /// 0.
  std::uint64_t Below(std::uint64_t aBound);

  /// Returns a uniformly distributed number in [0, 1).
  double Unit();

private:
  std::uint64_t mState;
};

/// Returns a seed from the operating system, for uses that need not be
/// reproducible.
std::uint64_t EntropySeed();

/// Returns 128 random bits in hexadecimal, for nonces and request ids.
std::string RandomToken(Random& aRandom);

} // namespace Acaciavale
