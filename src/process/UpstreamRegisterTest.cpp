#include "process/UpstreamRegister.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

UpstreamReport
MakeAnnouncement(const char* aInstance,
                 std::uint64_t aBirth,
                 std::uint64_t aNumber,
                 UpstreamState aState = UpstreamState::Live)
{
  UpstreamReport report;
  report.m_announcement.m_service = { ClientAccountId("a"), ServiceName("s") };
  report.m_announcement.m_version = UpstreamVersion("v1");
  report.m_announcement.m_state = aState;
  report.m_announcement.m_slots = SlotCount(4);
  report.m_place = { NetworkAddress(0x7F000001, 9000),
                     UpstreamInstanceId(aInstance) };
  report.m_birth = UpstreamBirth(aBirth);
  report.m_number = AnnouncementNumber(aNumber);
  return report;
}

UpstreamReport
MakeLeave(const char* aInstance, std::optional<std::uint64_t> aBirth)
{
  UpstreamReport report;
  report.m_isLeave = true;
  report.m_place.m_instance = UpstreamInstanceId(aInstance);
  if (aBirth) {
    report.m_birth = UpstreamBirth(*aBirth);
  }
  return report;
}

UpstreamState
StateOf(const UpstreamRegister& aRegister)
{
  return aRegister.Announcement().m_state;
}

} // namespace

Test(UpstreamRegister, ALateAnnouncementChangesNothing)
{
  UpstreamRegister upstreams;
  cr_assert(upstreams.Offer(MakeAnnouncement("i-1", 100, 1)));
  cr_assert(
    upstreams.Offer(MakeAnnouncement("i-1", 100, 3, UpstreamState::Draining)));
  cr_assert(!upstreams.Offer(MakeAnnouncement("i-1", 100, 2)));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
}

Test(UpstreamRegister, IgnoresAnEarlierProcessAtTheAddress)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeAnnouncement("i-2", 200, 1));
  cr_assert(!upstreams.Offer(MakeAnnouncement("i-1", 100, 50)));
  cr_assert_str_eq(upstreams.Place().m_instance.Value().c_str(), "i-2");
  cr_assert(!upstreams.Offer(MakeLeave("i-1", 100)));
  cr_assert(StateOf(upstreams) == UpstreamState::Live);
}

Test(UpstreamRegister, ALeavingProcessStaysDraining)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeAnnouncement("i-1", 100, 1));
  cr_assert(upstreams.Offer(MakeLeave("i-1", std::nullopt)));
  cr_assert(!upstreams.Offer(MakeLeave("i-1", 100)));
  upstreams.Offer(MakeAnnouncement("i-1", 100, 2));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
  upstreams.Lapse();
  upstreams.Offer(MakeAnnouncement("i-1", 100, 3));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
}

Test(UpstreamRegister, ALeaveBeforeAnyAnnouncementTakesEffect)
{
  // Happens after a restart of the node when the announcement was delayed.
  UpstreamRegister upstreams;
  upstreams.Offer(MakeLeave("i-1", 100));
  upstreams.Offer(MakeAnnouncement("i-1", 100, 13));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
  upstreams.Offer(MakeAnnouncement("i-1", 100, 14));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
  // A later process with the same instance name is not affected.
  upstreams.Offer(MakeAnnouncement("i-1", 300, 1));
  cr_assert(StateOf(upstreams) == UpstreamState::Live);
}

Test(UpstreamRegister, ALeaveWithoutABirthAppliesToItsInstanceOnly)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeLeave("i-1", std::nullopt));
  upstreams.Offer(MakeAnnouncement("i-1", 100, 13));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
  upstreams.Offer(MakeAnnouncement("i-2", 200, 1));
  cr_assert(StateOf(upstreams) == UpstreamState::Live);
}

Test(UpstreamRegister, ALeaveOfAnotherProcessDoesNotEndTheCurrentOne)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeAnnouncement("i-1", 100, 3));
  cr_assert(!upstreams.Offer(MakeLeave("i-2", 200)));
  cr_assert(StateOf(upstreams) == UpstreamState::Live);
  upstreams.Offer(MakeAnnouncement("i-2", 200, 1));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
}

Test(UpstreamRegister, ARestartWithTheSameNameResetsTheSequence)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeAnnouncement("i-1", 100, 9));
  upstreams.Offer(MakeLeave("i-1", 100));
  cr_assert(upstreams.Offer(MakeAnnouncement("i-1", 300, 1)));
  cr_assert(StateOf(upstreams) == UpstreamState::Live);
}

Test(UpstreamRegister, WithoutABirthEveryAnnouncementIsTheNewest)
{
  UpstreamRegister upstreams;
  UpstreamReport report = MakeAnnouncement("", 0, 0);
  report.m_birth.reset();
  cr_assert(upstreams.Offer(report));
  cr_assert(!upstreams.Offer(report));
  report.m_announcement.m_state = UpstreamState::Draining;
  cr_assert(upstreams.Offer(report));
  report.m_announcement.m_state = UpstreamState::Live;
  cr_assert(upstreams.Offer(report));
}

/// Another writer's report names a process that has left, without its birth.
Test(UpstreamRegister, AReportWithoutABirthBringsBackAProcessThatHasLeft)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeAnnouncement("i-1", 100, 3));
  upstreams.Offer(MakeLeave("i-1", 100));
  UpstreamReport report = MakeAnnouncement("i-1", 0, 9);
  report.m_birth.reset();
  cr_assert(!upstreams.Offer(report));
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
  upstreams.Lapse();
  upstreams.Offer(report);
  cr_assert(StateOf(upstreams) == UpstreamState::Draining);
}

Test(UpstreamRegister, AReportWithoutABirthErasesTheOneThatIsKnown)
{
  UpstreamRegister upstreams;
  upstreams.Offer(MakeAnnouncement("i-2", 200, 1));
  UpstreamReport report = MakeAnnouncement("i-2", 0, 2);
  report.m_birth.reset();
  report.m_announcement.m_service.m_name = ServiceName("other");
  cr_assert(!upstreams.Offer(report));
  // A heartbeat of the process before, held up on its way.
  cr_assert(!upstreams.Offer(MakeAnnouncement("i-1", 100, 50)));
  cr_assert_str_eq(upstreams.Place().m_instance.Value().c_str(), "i-2");
}

} // namespace tarragontray
