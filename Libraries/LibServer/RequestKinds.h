#pragma once

#include <mutex>
#include <set>
#include <string>

namespace Acaciavale {

/// Limits the number of distinct request kinds. Evidence and metrics are kept
/// per kind, and callers may send arbitrary names. Thread-safe.
class RequestKinds
{
public:
  /// Returns the kind under which a request is counted: the given name, or
  /// "other" if the name is too long, contains characters other than lower-case
  /// letters, digits and hyphens, or exceeds the number of distinct kinds.
  std::string Normalize(const std::string& aKind);

private:
  std::mutex mLock;
  std::set<std::string> mKinds;
};

} // namespace Acaciavale
