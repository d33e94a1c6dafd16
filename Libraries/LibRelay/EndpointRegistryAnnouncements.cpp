#include <Acaciavale/LibRelay/EndpointCandidates.h>

/// The part of EndpointRegistry that keeps what endpoints state about
/// themselves, and divides their limits among the VMs.
namespace Acaciavale::Relay {

EndpointLifetime LifetimeOf(const EndpointRecord& aRecord)
{
  return { aRecord.mId, aRecord.mIncarnation, aRecord.mAddress };
}

void EndpointRegistry::SetLiveVms(const std::string& aSelf,
                                  const std::vector<std::string>& aNames)
{
  std::vector<std::uint64_t> keys;
  keys.reserve(aNames.size());
  for (const std::string& name : aNames) {
    keys.push_back(HashOf(name));
  }
  const std::uint64_t self = HashOf(aSelf);
  if (keys != mLiveVmKeys || self != mSelfKey) {
    mSelfKey = self;
    mLiveVmKeys = std::move(keys);
    mLiveVmsList += 1;
  }
}

void EndpointRegistry::SetColdRates(std::map<std::string, double> aRates)
{
  mColdRates = std::move(aRates);
}

void EndpointRegistry::SetEvacuatedDomains(std::set<std::string> aDomains)
{
  mEvacuatedDomains = std::move(aDomains);
}

std::optional<RateBound> EndpointRegistry::BoundOf(const Endpoint& aEndpoint,
                                                   TimePoint aNow) const
{
  std::optional<RateBound> bound;
  if (const auto limit = EffectiveLimit(aEndpoint.mAnnouncement.mLimit, aNow)) {
    bound = BoundOfLimit(*limit);
  }
  if (aNow >= aEndpoint.mColdUntil) {
    return bound;
  }
  const auto coldRate = mColdRates.find(aEndpoint.mRecord.mPool);
  if (coldRate != mColdRates.end()) {
    const RateBound cold = BoundOfColdEndpoint(coldRate->second);
    bound = bound ? Stricter(*bound, cold) : cold;
  }
  return bound;
}

std::optional<PermitShare> EndpointRegistry::PermitShareOf(
  Endpoint& aEndpoint,
  const RateBound& aBound) const
{
  if (!aEndpoint.mPermitRank || aEndpoint.mPermitRankOfList != mLiveVmsList) {
    aEndpoint.mPermitRank =
      PermitRank(HashOf(aEndpoint.mRecord.mId), mSelfKey, mLiveVmKeys);
    aEndpoint.mPermitRankOfList = mLiveVmsList;
  }
  return ShareOf(aBound,
                 aEndpoint.mPermitRank,
                 static_cast<std::uint32_t>(mLiveVmKeys.size()));
}

std::optional<EndpointPermit> EndpointRegistry::PermitOf(Endpoint& aEndpoint,
                                                         TimePoint aNow) const
{
  const auto bound = BoundOf(aEndpoint, aNow);
  if (!bound) {
    return std::nullopt;
  }
  const auto share = PermitShareOf(aEndpoint, *bound);
  return EndpointPermit{ bound->mPerSecond,
                         share,
                         share ? NextPermitAt(aEndpoint.mPermits, *share)
                               : TimePoint::max() };
}

bool EndpointRegistry::RecordLeaving(Endpoint& aEndpoint, TimePoint aNow)
{
  const bool isNews = !aEndpoint.mAnnouncement.mIsLeaving;
  aEndpoint.mAnnouncement.mIsLeaving = true;
  Remember(mAnnouncements,
           LifetimeOf(aEndpoint.mRecord),
           aEndpoint.mAnnouncement,
           aNow);
  return isNews;
}

bool EndpointRegistry::RecordQuietTime(Endpoint& aEndpoint,
                                       Duration aAsked,
                                       double aJitter,
                                       TimePoint aNow)
{
  QuietPeriod& quiet = aEndpoint.mAnnouncement.mQuiet;
  const bool isNews = !IsQuiet(quiet, aNow);
  quiet = WithQuietTime(quiet, aAsked, aJitter, aNow);
  Remember(mAnnouncements,
           LifetimeOf(aEndpoint.mRecord),
           aEndpoint.mAnnouncement,
           aNow);
  return isNews;
}

bool EndpointRegistry::RecordLimit(Endpoint& aEndpoint,
                                   std::optional<double> aPerSecond,
                                   TimePoint aNow)
{
  const EndpointAnnouncement before = aEndpoint.mAnnouncement;
  RequestLimit& limit = aEndpoint.mAnnouncement.mLimit;
  limit = WithStatement(limit, aPerSecond, aNow);
  if (limit == before.mLimit) {
    return false;
  }
  Remember(mAnnouncements,
           LifetimeOf(aEndpoint.mRecord),
           aEndpoint.mAnnouncement,
           aNow);
  return IsNews(aEndpoint.mAnnouncement, before);
}

std::vector<AnnouncementReport> EndpointRegistry::Announcements() const
{
  return ReportsOf(mAnnouncements);
}

bool EndpointRegistry::ApplyAnnouncements(
  const std::vector<AnnouncementReport>& aReports,
  TimePoint aNow)
{
  bool isNews = false;
  for (const AnnouncementReport& report : aReports) {
    const auto remembered = mAnnouncements.mEntries.find(report.mLifetime);
    const auto listed = mEndpoints.find(report.mLifetime.mId);
    const bool isListed =
      listed != mEndpoints.end() &&
      LifetimeOf(listed->second->mRecord) == report.mLifetime;
    // NOTE: An endpoint that is not listed is not learned from others: VMs
    // would
    //       go on telling each other of it for ever.
    if (!isListed && remembered == mAnnouncements.mEntries.end()) {
      continue;
    }
    const EndpointAnnouncement before = isListed
                                          ? listed->second->mAnnouncement
                                          : remembered->second.mAnnouncement;
    const EndpointAnnouncement after = WithReport(before, report);
    if (after == before) {
      continue;
    }
    isNews = isNews || IsNews(after, before);
    if (isListed) {
      listed->second->mAnnouncement = after;
      Remember(mAnnouncements, report.mLifetime, after, aNow);
    } else {
      remembered->second.mAnnouncement = after;
    }
  }
  return isNews;
}

} // namespace Acaciavale::Relay
