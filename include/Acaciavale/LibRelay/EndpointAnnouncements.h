#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRouting/EndpointLimit.h>
#include <Acaciavale/LibRouting/EndpointQuiet.h>

#include <cstdint>
#include <map>
#include <string>

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

/// Forgets endpoints that have not been listed for long.
void ForgetUnlisted(AnnouncementMemory& aMemory, TimePoint aNow);

} // namespace Acaciavale::Relay
