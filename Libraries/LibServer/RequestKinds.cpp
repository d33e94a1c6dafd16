#include "RequestKinds.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxKinds = 64;
constexpr std::size_t kMaxKindBytes = 32;
constexpr const char* kAllowedCharacters =
  "abcdefghijklmnopqrstuvwxyz0123456789-";
constexpr const char* kOtherKind = "other";

} // namespace

std::string RequestKinds::Normalize(const std::string& aKind)
{
  if (aKind.size() > kMaxKindBytes ||
      aKind.find_first_not_of(kAllowedCharacters) != std::string::npos) {
    return kOtherKind;
  }
  const std::lock_guard guard(mLock);
  if (mKinds.contains(aKind)) {
    return aKind;
  }
  if (mKinds.size() >= kMaxKinds) {
    return kOtherKind;
  }
  mKinds.insert(aKind);
  return aKind;
}

} // namespace Acaciavale
