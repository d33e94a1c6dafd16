#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <functional>

namespace Acaciavale {

/// A store that runs the hook before and after each read, list, write and
/// remove, so that a test can run concurrent operations while the calling
/// thread is paused there.
inline KeyValueStore HookedStore(const KeyValueStore& aStore,
                                 const std::function<void()>& aHook)
{
  KeyValueStore hooked = aStore;
  hooked.mRead = [aStore, aHook](const std::string& aKey) {
    aHook();
    auto result = aStore.mRead(aKey);
    aHook();
    return result;
  };
  hooked.mList = [aStore, aHook](const std::string& aPrefix) {
    aHook();
    auto result = aStore.mList(aPrefix);
    aHook();
    return result;
  };
  hooked.mCompareAndSwap = [aStore, aHook](const CompareAndSwap& aWrite) {
    aHook();
    auto result = aStore.mCompareAndSwap(aWrite);
    aHook();
    return result;
  };
  hooked.mRemove = [aStore, aHook](const std::string& aKey,
                                   std::int64_t aExpectedRevision) {
    aHook();
    auto result = aStore.mRemove(aKey, aExpectedRevision);
    aHook();
    return result;
  };
  return hooked;
}

} // namespace Acaciavale
