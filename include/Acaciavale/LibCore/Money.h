#pragma once

#include <compare>
#include <cstdint>

/// Money in integers of the smallest unit; no floating point reaches a bill.
namespace Acaciavale {

/// An amount in millionths of the deployment's currency unit.
struct Money
{
  std::int64_t mMicros = 0;

  auto operator<=>(const Money&) const = default;
};

constexpr Money operator+(Money aLeft, Money aRight)
{
  return Money{ aLeft.mMicros + aRight.mMicros };
}

/// A price in micros for one million tokens.
struct TokenPrice
{
  std::int64_t mMicrosPerMillionTokens = 0;

  auto operator<=>(const TokenPrice&) const = default;
};

constexpr std::int64_t kTokensPerPriceUnit = 1'000'000;

/// The charge for a number of tokens, rounded up to a whole micro.
constexpr Money Charge(TokenPrice aPrice, std::int64_t aTokens)
{
  return Money{ (aPrice.mMicrosPerMillionTokens * aTokens +
                 kTokensPerPriceUnit - 1) /
                kTokensPerPriceUnit };
}

} // namespace Acaciavale
