#include "src/daemon/control/announcement_log.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using daemon::AnnouncementLog;

namespace {

consensus::Member MemberAt(std::uint64_t id) {
  return {ControlId{id}, DiskIncarnation{id}, "10.0.0." + std::to_string(id) + ":1", {}};
}

consensus::PeerMessage Announced(std::uint64_t from, std::uint64_t to) {
  return {MemberAt(from), MemberAt(to), consensus::Announcement{}};
}

Instant At(std::int64_t milliseconds) { return InstantFromMicros(milliseconds * 1000); }

}  // namespace

// Neither the process outside the group nor the members told that it announced itself.
Test(announcement_log, own_announcements_are_noted_each_few_seconds_with_all_recipients) {
  AnnouncementLog log{ControlId{9}};
  std::size_t notes = 0;
  for (std::int64_t now = 0; now < 10'000; now += 250) {
    for (const std::uint64_t to : {1, 2, 3}) {
      const auto note = log.OnSent(Announced(9, to), At(now));
      if (!note) continue;
      ++notes;
      cr_assert_eq(note->what, "announces");
      cr_assert_eq(note->process, "10.0.0.9:1");
      cr_assert_eq(note->to, "10.0.0.1:1 10.0.0.2:1 10.0.0.3:1");
    }
  }
  cr_assert_eq(notes, 2U);
}

Test(announcement_log, another_process_is_noted_once_by_whom_it_is_forwarded_and_received) {
  AnnouncementLog log{ControlId{1}};
  const auto forwarded = log.OnSent(Announced(9, 2), At(0));
  cr_assert(forwarded && forwarded->what == "announcement_forwarded");
  cr_assert_eq(forwarded->process, "10.0.0.9:1");
  cr_assert_eq(forwarded->to, "10.0.0.2:1");
  const auto received = log.OnReceived(Announced(9, 1), At(0));
  cr_assert(received && received->what == "announcement_received");
  for (std::int64_t now = 250; now < 100'000; now += 250) {
    cr_assert_not(log.OnSent(Announced(9, 2), At(now)).has_value());
    cr_assert_not(log.OnReceived(Announced(9, 1), At(now)).has_value());
  }
  cr_assert(log.OnReceived(Announced(9, 1), At(200'000)).has_value(), "silent for long");
}

Test(announcement_log, other_messages_are_not_noted) {
  AnnouncementLog log{ControlId{1}};
  const consensus::PeerMessage message{MemberAt(1), MemberAt(2), consensus::VoteRequest{}};
  for (int sent = 0; sent < 3; ++sent) cr_assert_not(log.OnSent(message, At(sent)).has_value());
}
