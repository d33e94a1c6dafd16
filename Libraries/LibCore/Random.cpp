#include <Acaciavale/LibCore/Random.h>

#include <random>

namespace Acaciavale {

namespace {

constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9ULL;
constexpr std::uint64_t kSecondMultiplier = 0x94d049bb133111ebULL;
constexpr int kMantissaBits = 53;
constexpr char kHexDigits[] = "0123456789abcdef";

} // namespace

std::uint64_t Random::Next()
{
  mState += kGoldenGamma;
  std::uint64_t mixed = mState;
  mixed = (mixed ^ (mixed >> 30)) * kFirstMultiplier;
  mixed = (mixed ^ (mixed >> 27)) * kSecondMultiplier;
  return mixed ^ (mixed >> 31);
}

std::uint64_t Random::Below(std::uint64_t aBound)
{
  // NOTE: The high half of the product deviates from uniform by at most 2^-64
  //       times the bound, which is negligible here, and needs no division.
  return static_cast<std::uint64_t>(
    (static_cast<unsigned __int128>(Next()) * aBound) >> 64);
}

double Random::Unit()
{
  return static_cast<double>(Next() >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

std::uint64_t EntropySeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string RandomToken(Random& aRandom)
{
  std::string token;
  for (int word = 0; word < 2; ++word) {
    std::uint64_t bits = aRandom.Next();
    for (int digit = 0; digit < 16; ++digit) {
      token.push_back(kHexDigits[bits & 15]);
      bits >>= 4;
    }
  }
  return token;
}

} // namespace Acaciavale
