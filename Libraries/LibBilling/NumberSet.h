#pragma once

#include <compare>
#include <cstdint>
#include <vector>

/// Sets of entry numbers, nearly always one run from 1.
namespace Acaciavale {

/// The numbers from first to last, both included.
struct NumberRange
{
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;

  auto operator<=>(const NumberRange&) const = default;
};

/// Ranges in rising order with gaps between them.
struct NumberSet
{
  std::vector<NumberRange> mRanges;

  auto operator<=>(const NumberSet&) const = default;
};

/// The numbers 1 to aLast; the empty set for 0.
NumberSet NumbersUpTo(std::uint64_t aLast);
bool Contains(const NumberSet& aSet, std::uint64_t aNumber);
NumberSet WithNumber(const NumberSet& aSet, std::uint64_t aNumber);
std::uint64_t CountNumbers(const NumberSet& aSet);

} // namespace Acaciavale
