#pragma once

#include <mutex>
#include <set>
#include <string>

namespace Acaciavale {

/// The kinds of request that callers name, bounded: evidence and metrics are
/// kept per kind, and a caller may send anything. Thread-safe.
class RequestKinds
{
public:
  /// The kind to count the request under: as named, or "other" where the name
  /// is too long, holds anything but lower-case letters, digits and hyphens, or
  /// is one too many.
  std::string Normalize(const std::string& aKind);

private:
  std::mutex mLock;
  std::set<std::string> mKinds;
};

} // namespace Acaciavale
