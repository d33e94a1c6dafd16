#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRouting/EndpointLimit.h>
#include <Acaciavale/LibRouting/EndpointQuiet.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What endpoints state about themselves in their responses. It is this VM's
/// own evidence and goes before the platform's list, which may be older: the
/// list may drop an endpoint and show it again.
namespace Acaciavale::Relay {

/// One lifetime of an endpoint: a restart changes the incarnation, and another
/// endpoint may get the address.
struct EndpointLifetime
{
  std::string mId;
  std::int64_t mIncarnation = 0;
  std::string mAddress;

  auto operator<=>(const EndpointLifetime&) const = default;
};

struct EndpointAnnouncement
{
  bool mIsLeaving = false; ///< The endpoint is about to stop.
  QuietPeriod mQuiet;      ///< The endpoint wants no requests meanwhile.
  RequestLimit mLimit;     ///< Requests that it takes from all VMs together.

  auto operator<=>(const EndpointAnnouncement&) const = default;
};

/// What one lifetime of an endpoint has stated, as VMs exchange it. The quiet
/// time is not among it: the endpoint turned one VM's request away.
struct AnnouncementReport
{
  EndpointLifetime mLifetime;
  bool mIsLeaving = false;
  RequestLimit mLimit;

  auto operator<=>(const AnnouncementReport&) const = default;
};

/// The announcements by lifetime, with the time at which each endpoint was last
/// listed or heard.
struct AnnouncementMemory
{
  struct Entry
  {
    EndpointAnnouncement mAnnouncement;
    TimePoint mKnownAt{};
  };
  std::map<EndpointLifetime, Entry> mEntries;
};

/// Remembers the announcement, in place of an earlier one.
void Remember(AnnouncementMemory& aMemory,
              const EndpointLifetime& aLifetime,
              const EndpointAnnouncement& aAnnouncement,
              TimePoint aNow);

/// Returns the announcement of a listed endpoint; a default one if there is
/// none.
EndpointAnnouncement Recall(AnnouncementMemory& aMemory,
                            const EndpointLifetime& aLifetime,
                            TimePoint aNow);

/// The statements that other VMs should know.
std::vector<AnnouncementReport> ReportsOf(const AnnouncementMemory& aMemory);

/// Returns the announcement with what the report adds: the later statement of
/// the limit counts.
EndpointAnnouncement WithReport(EndpointAnnouncement aAnnouncement,
                                const AnnouncementReport& aReport);

/// Whether the announcement states something that the other one does not, apart
/// from the time of a statement and small changes of a limit.
bool IsNews(const EndpointAnnouncement& aAnnouncement,
            const EndpointAnnouncement& aBefore);

/// Forgets endpoints that have not been listed for long.
void ForgetUnlisted(AnnouncementMemory& aMemory, TimePoint aNow);

} // namespace Acaciavale::Relay
