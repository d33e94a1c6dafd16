#include <Acaciavale/LibSettings/SettingsHolder.h>

#include <Acaciavale/LibSettings/SettingsParser.h>

#include <mutex>

namespace Acaciavale {

namespace {

/// A generation in every form that SettingsHolder returns, built once.
struct LoadedGeneration
{
  std::shared_ptr<const Settings> mSettings;
  std::shared_ptr<const StoredSettings> mStored;
  std::string mRecord;
};

ErrorOr<LoadedGeneration> LoadGeneration(const StoredSettings& aStored)
{
  SettingsResult result = ParseSettings(aStored.mFiles);
  if (!result.mSettings) {
    return MakeError(ErrorCode::Invalid,
                     "Generation " + std::to_string(aStored.mRoot.mGeneration) +
                       " has findings; the first is " +
                       Describe(result.mFindings.front()));
  }
  result.mSettings->mGeneration = aStored.mRoot.mGeneration;
  result.mSettings->mDigest = aStored.mRoot.mDigest;
  return LoadedGeneration{ std::make_shared<const Settings>(
                             std::move(*result.mSettings)),
                           std::make_shared<const StoredSettings>(aStored),
                           SerialiseRecord(aStored) };
}

} // namespace

struct SettingsHolder::Private
{
  mutable std::mutex mMutex;
  LoadedGeneration mCurrent;

  std::int64_t Generation() const
  {
    return mCurrent.mSettings ? mCurrent.mSettings->mGeneration : 0;
  }

  /// Returns whether the root is newer than the one in force; Conflict if
  /// another record of the same generation is in force. The lock must be held.
  ErrorOr<bool> IsNewer(const SettingsRoot& aRoot) const
  {
    if (aRoot.mGeneration == Generation() && mCurrent.mStored &&
        mCurrent.mStored->mRoot.mChainDigest != aRoot.mChainDigest) {
      return MakeError(ErrorCode::Conflict,
                       "Two different records have generation " +
                         std::to_string(aRoot.mGeneration) + ".");
    }
    return aRoot.mGeneration > Generation();
  }
};

SettingsHolder::SettingsHolder()
  : mPrivate(std::make_unique<Private>())
{
}

SettingsHolder::~SettingsHolder() = default;

std::shared_ptr<const Settings> SettingsHolder::Current() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mCurrent.mSettings;
}

std::int64_t SettingsHolder::Generation() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->Generation();
}

std::string SettingsHolder::Record(std::int64_t aGeneration) const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->Generation() == aGeneration ? mPrivate->mCurrent.mRecord
                                               : "";
}

std::shared_ptr<const StoredSettings> SettingsHolder::Stored() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mCurrent.mStored;
}

ErrorOr<bool> SettingsHolder::Offer(std::int64_t aGeneration,
                                    const std::string& aRecord)
{
  if (aGeneration < Generation()) {
    return false;
  }
  const StoredSettings stored = ACACIAVALE_TRY(ParseRecord(aRecord));
  if (stored.mRoot.mGeneration != aGeneration) {
    return MakeError(
      ErrorCode::Invalid,
      "The generation in the record differs from the announced generation.");
  }
  return Offer(stored);
}

ErrorOr<bool> SettingsHolder::Offer(const StoredSettings& aSettings)
{
  const auto checked = CheckRecord(aSettings);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  {
    const std::lock_guard lock(mPrivate->mMutex);
    const bool isNewer = ACACIAVALE_TRY(mPrivate->IsNewer(aSettings.mRoot));
    if (!isNewer) {
      return false;
    }
  }
  // NOTE: Parsing takes milliseconds, so it runs without the lock. Another
  //       thread may accept a newer generation meanwhile, so the check is
  //       repeated.
  LoadedGeneration loaded = ACACIAVALE_TRY(LoadGeneration(aSettings));
  const std::lock_guard lock(mPrivate->mMutex);
  const bool isNewer = ACACIAVALE_TRY(mPrivate->IsNewer(aSettings.mRoot));
  if (isNewer) {
    mPrivate->mCurrent = std::move(loaded);
  }
  return isNewer;
}

} // namespace Acaciavale
