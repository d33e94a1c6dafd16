#include "NumberSet.h"

#include <algorithm>

namespace Acaciavale {

namespace {

/// Finds the first range that ends at or after the number.
std::vector<NumberRange>::const_iterator FindRange(const NumberSet& aSet,
                                                   std::uint64_t aNumber)
{
  return std::lower_bound(aSet.mRanges.begin(),
                          aSet.mRanges.end(),
                          aNumber,
                          [](const NumberRange& aRange, std::uint64_t aWanted) {
                            return aRange.mLast < aWanted;
                          });
}

} // namespace

NumberSet NumbersUpTo(std::uint64_t aLast)
{
  if (aLast == 0) {
    return {};
  }
  return { { { 1, aLast } } };
}

bool Contains(const NumberSet& aSet, std::uint64_t aNumber)
{
  const auto range = FindRange(aSet, aNumber);
  return range != aSet.mRanges.end() && range->mFirst <= aNumber;
}

NumberSet WithNumber(const NumberSet& aSet, std::uint64_t aNumber)
{
  if (Contains(aSet, aNumber)) {
    return aSet;
  }
  NumberSet set = aSet;
  const auto at =
    set.mRanges.begin() + (FindRange(aSet, aNumber) - aSet.mRanges.begin());
  const bool joinsNext = at != set.mRanges.end() && at->mFirst == aNumber + 1;
  const bool joinsPrevious =
    at != set.mRanges.begin() && (at - 1)->mLast + 1 == aNumber;
  if (joinsNext && joinsPrevious) {
    (at - 1)->mLast = at->mLast;
    set.mRanges.erase(at);
  } else if (joinsNext) {
    at->mFirst = aNumber;
  } else if (joinsPrevious) {
    (at - 1)->mLast = aNumber;
  } else {
    set.mRanges.insert(at, { aNumber, aNumber });
  }
  return set;
}

std::uint64_t CountNumbers(const NumberSet& aSet)
{
  std::uint64_t count = 0;
  for (const NumberRange& range : aSet.mRanges) {
    count += range.mLast - range.mFirst + 1;
  }
  return count;
}

} // namespace Acaciavale
