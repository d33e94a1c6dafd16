#include "RequestKinds.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxKinds = 64;
constexpr std::size_t kMaxKindBytes = 32;
constexpr const char* kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
constexpr const char* kOther = "other";

} // namespace

std::string RequestKinds::Known(const std::string& aNamed)
{
  if (aNamed.size() > kMaxKindBytes ||
      aNamed.find_first_not_of(kAllowed) != std::string::npos) {
    return kOther;
  }
  const std::lock_guard guard(mLock);
  if (mKinds.contains(aNamed)) {
    return aNamed;
  }
  if (mKinds.size() >= kMaxKinds) {
    return kOther;
  }
  mKinds.insert(aNamed);
  return aNamed;
}

} // namespace Acaciavale
