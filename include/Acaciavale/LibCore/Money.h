#pragma once

#include <compare>
#include <cstdint>

/// Amounts of money as integers, so that bills involve no floating-point
/// numbers.
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

/// A price per million tokens, in millionths of the currency unit (micros).
struct TokenPrice
{
  std::int64_t mMicrosPerMillionTokens = 0;

  auto operator<=>(const TokenPrice&) const = default;
};

constexpr std::int64_t kTokensPerPriceUnit = 1'000'000;

/// Returns the charge for a number of tokens, rounded up to a whole micro.
constexpr Money Charge(TokenPrice aPrice, std::int64_t aTokens)
{
  return Money{ (aPrice.mMicrosPerMillionTokens * aTokens +
                 kTokensPerPriceUnit - 1) /
                kTokensPerPriceUnit };
}

} // namespace Acaciavale
