#pragma once

#include <compare>
#include <cstdint>
#include <vector>

/// Sets of entry numbers, stored as ranges. A set is nearly always a single
/// range from 1.
namespace Acaciavale {

/// The numbers from mFirst to mLast, inclusive.
struct NumberRange
{
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;

  auto operator<=>(const NumberRange&) const = default;
};

/// Disjoint, non-adjacent ranges in ascending order.
struct NumberSet
{
  std::vector<NumberRange> mRanges;

  auto operator<=>(const NumberSet&) const = default;
};

/// The set of the numbers 1 to aLast; empty if aLast is 0.
NumberSet NumbersUpTo(std::uint64_t aLast);
bool Contains(const NumberSet& aSet, std::uint64_t aNumber);
NumberSet WithNumber(const NumberSet& aSet, std::uint64_t aNumber);
std::uint64_t CountNumbers(const NumberSet& aSet);

} // namespace Acaciavale
