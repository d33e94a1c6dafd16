#include <Acaciavale/LibMembership/LimitShares.h>

#include <Acaciavale/LibCore/Random.h>

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

constexpr const char* kEpochKey = "limits/epoch";

/// Whether the epoch was made for these live VMs.
bool IsFor(const LimitEpoch& aEpoch, const std::vector<LimitMember>& aLive)
{
  std::vector<std::string> granted;
  for (const LimitPart& part : aEpoch.mParts) {
    if (part.mMissingSince.count() == 0) {
      granted.push_back(part.mVm);
    }
  }
  std::vector<std::string> live;
  live.reserve(aLive.size());
  for (const LimitMember& member : aLive) {
    live.push_back(member.mVm);
  }
  std::sort(live.begin(), live.end());
  live.erase(std::unique(live.begin(), live.end()), live.end());
  return granted == live;
}

} // namespace

std::string SerializeLimitEpoch(const LimitEpoch& aEpoch,
                                const std::string& aNonce)
{
  nlohmann::json parts = nlohmann::json::array();
  for (const LimitPart& part : aEpoch.mParts) {
    parts.push_back({ { "vm", part.mVm },
                      { "share", part.mShare },
                      { "floor", part.mFloor },
                      { "missing_since", part.mMissingSince.count() } });
  }
  const nlohmann::json record = { { "epoch", aEpoch.mNumber },
                                  { "parts", parts },
                                  { "nonce", aNonce } };
  return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ErrorOr<LimitEpoch> ParseLimitEpoch(const std::string& aValue)
{
  const auto record = nlohmann::json::parse(aValue, nullptr, false);
  if (!record.is_object()) {
    return MakeError(ErrorCode::Invalid, "The epoch of limits is no object.");
  }
  try {
    LimitEpoch epoch;
    epoch.mNumber = record.at("epoch").get<std::uint64_t>();
    for (const auto& item : record.at("parts")) {
      LimitPart part;
      part.mVm = item.at("vm").get<std::string>();
      part.mShare = std::clamp(item.at("share").get<double>(), 0.0, 1.0);
      part.mFloor = std::clamp(item.at("floor").get<double>(), 0.0, 1.0);
      part.mMissingSince =
        UnixMilliseconds(item.at("missing_since").get<std::int64_t>());
      epoch.mParts.push_back(std::move(part));
    }
    return epoch;
  } catch (const nlohmann::json::exception&) {
    return MakeError(ErrorCode::Invalid, "The epoch of limits lacks a field.");
  }
}

struct LimitShares::Private
{
  LimitOptions mOptions;
  KeyValueStore mStore;
  Random mRandom;
  mutable std::mutex mMutex;
  LimitKnowledge mKnowledge;

  Private(LimitOptions aOptions, KeyValueStore aStore, std::uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mStore(std::move(aStore))
    , mRandom(aSeed)
  {
  }

  void Take(const LimitEpoch& aEpoch, TimePoint aBegan)
  {
    const std::lock_guard lock(mMutex);
    mKnowledge = TakeEpoch(
      std::move(mKnowledge), aEpoch, mOptions, aBegan, MonotonicNow());
  }

  ErrorOr<std::int64_t> Write(const LimitEpoch& aEpoch, std::int64_t aRevision)
  {
    return WriteResolved(mStore,
                         { kEpochKey,
                           SerializeLimitEpoch(aEpoch, RandomToken(mRandom)),
                           aRevision,
                           0 });
  }

  bool IsAuthor(const std::vector<LimitMember>& aLive) const
  {
    const auto first = std::min_element(aLive.begin(), aLive.end());
    return first != aLive.end() && first->mVm == mOptions.mVm;
  }
};

LimitShares::LimitShares(LimitOptions aOptions,
                         KeyValueStore aStore,
                         std::uint64_t aSeed)
  : mPrivate(
      std::make_unique<Private>(std::move(aOptions), std::move(aStore), aSeed))
{
}

LimitShares::~LimitShares() = default;

void LimitShares::Step(const std::vector<LimitMember>& aLive)
{
  const TimePoint began = MonotonicNow();
  const auto found = mPrivate->mStore.mRead(kEpochKey);
  if (!found) {
    return;
  }
  LimitEpoch epoch;
  if (*found) {
    const auto parsed = ParseLimitEpoch((*found)->mValue);
    if (!parsed) {
      return;
    }
    epoch = *parsed;
    mPrivate->Take(epoch, began);
  }
  if (IsFor(epoch, aLive) || !mPrivate->IsAuthor(aLive)) {
    return;
  }
  const LimitEpoch next =
    NextEpoch(epoch, aLive, mPrivate->mOptions, CalendarNow());
  if (mPrivate->Write(next, *found ? (*found)->mRevision : 0)) {
    mPrivate->Take(next, began);
  }
}

void LimitShares::Leave()
{
  {
    // NOTE: From here on this VM uses nothing, whatever becomes of the write.
    const std::lock_guard lock(mPrivate->mMutex);
    mPrivate->mKnowledge = {};
  }
  const auto found = mPrivate->mStore.mRead(kEpochKey);
  if (!found || !*found) {
    return;
  }
  auto epoch = ParseLimitEpoch((*found)->mValue);
  if (!epoch) {
    return;
  }
  std::erase_if(epoch->mParts, [this](const LimitPart& aPart) {
    return aPart.mVm == mPrivate->mOptions.mVm;
  });
  ++epoch->mNumber;
  // NOTE: If this fails, the floor stays reserved until it is dropped as
  //       missing, which costs a little of the limit and breaks no bound.
  (void)mPrivate->Write(*epoch, (*found)->mRevision);
}

double LimitShares::Share() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return LimitShareNow(
    mPrivate->mKnowledge, mPrivate->mOptions, MonotonicNow());
}

} // namespace Acaciavale
