#pragma once

#include <cstdint>
#include <string>

/// Seeded random source, small enough to pass into every decision.
namespace Acaciavale {

/// SplitMix64: the same seed gives the same sequence on every machine.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  std::uint64_t Next();

  /// Uniform in [0, aBound); aBound must not be 0.
  std::uint64_t Below(std::uint64_t aBound);

  /// Uniform in [0, 1).
  double Unit();

private:
  std::uint64_t mState;
};

/// A seed from the operating system, for processes that need not be repeatable.
std::uint64_t EntropySeed();

/// 128 random bits in hexadecimal, for nonces and request ids.
std::string RandomToken(Random& aRandom);

} // namespace Acaciavale
