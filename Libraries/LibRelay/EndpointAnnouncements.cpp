#include <Acaciavale/LibRelay/EndpointAnnouncements.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// How long an announcement is kept after the endpoint was last listed. An
/// older snapshot or an older copy of the store may list it again some seconds
/// later.
constexpr Duration kMemoryOfUnlisted = std::chrono::seconds(60);
/// Number of announcements above which that of the endpoint that was listed
/// least recently is forgotten.
constexpr std::size_t kMaximumEntries = 1024;
/// Ratio of two limits from which the change is news. Smaller changes, which an
/// endpoint may state with each response, reach the other VMs with their polls.
constexpr double kNewsRatio = 1.25;

} // namespace

void Remember(AnnouncementMemory& aMemory,
              const EndpointLifetime& aLifetime,
              const EndpointAnnouncement& aAnnouncement,
              TimePoint aNow)
{
  auto& entries = aMemory.mEntries;
  entries[aLifetime] = { aAnnouncement, aNow };
  if (entries.size() > kMaximumEntries) {
    entries.erase(std::min_element(entries.begin(),
                                   entries.end(),
                                   [](const auto& aLeft, const auto& aRight) {
                                     return aLeft.second.mKnownAt <
                                            aRight.second.mKnownAt;
                                   }));
  }
}

EndpointAnnouncement Recall(AnnouncementMemory& aMemory,
                            const EndpointLifetime& aLifetime,
                            TimePoint aNow)
{
  const auto found = aMemory.mEntries.find(aLifetime);
  if (found == aMemory.mEntries.end()) {
    return {};
  }
  found->second.mKnownAt = aNow;
  return found->second.mAnnouncement;
}

std::vector<AnnouncementReport> ReportsOf(const AnnouncementMemory& aMemory)
{
  std::vector<AnnouncementReport> reports;
  for (const auto& [lifetime, entry] : aMemory.mEntries) {
    const EndpointAnnouncement& announcement = entry.mAnnouncement;
    const bool isForAll =
      announcement.mIsLeaving || announcement.mLimit.mStatedAt != TimePoint{};
    if (isForAll) {
      reports.push_back(
        { lifetime, announcement.mIsLeaving, announcement.mLimit });
    }
  }
  return reports;
}

EndpointAnnouncement WithReport(EndpointAnnouncement aAnnouncement,
                                const AnnouncementReport& aReport)
{
  aAnnouncement.mIsLeaving = aAnnouncement.mIsLeaving || aReport.mIsLeaving;
  if (aReport.mLimit.mStatedAt > aAnnouncement.mLimit.mStatedAt) {
    aAnnouncement.mLimit = aReport.mLimit;
  }
  return aAnnouncement;
}

bool IsNews(const EndpointAnnouncement& aAnnouncement,
            const EndpointAnnouncement& aBefore)
{
  const RequestLimit& limit = aAnnouncement.mLimit;
  const RequestLimit& before = aBefore.mLimit;
  return aAnnouncement.mIsLeaving != aBefore.mIsLeaving ||
         IsInForce(limit) != IsInForce(before) ||
         (IsInForce(limit) &&
          (limit.mPerSecond >= before.mPerSecond * kNewsRatio ||
           limit.mPerSecond * kNewsRatio <= before.mPerSecond) &&
          limit.mPerSecond != before.mPerSecond);
}

void ForgetUnlisted(AnnouncementMemory& aMemory, TimePoint aNow)
{
  std::erase_if(aMemory.mEntries, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mKnownAt > kMemoryOfUnlisted;
  });
}

} // namespace Acaciavale::Relay
