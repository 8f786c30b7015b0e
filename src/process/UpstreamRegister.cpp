#include "process/UpstreamRegister.h"

#include <utility>

namespace tarragontray {

std::optional<UpstreamProcess>
DepartureIn(const UpstreamReport& aReport)
{
  const bool isDraining = aReport.m_birth && aReport.m_announcement.m_state ==
                                               UpstreamState::Draining;
  if (!aReport.m_isLeave && !isDraining) {
    return std::nullopt;
  }
  return UpstreamProcess{ aReport.m_place.m_instance, aReport.m_birth };
}

bool
UpstreamRegister::IsFromCurrentProcess(const UpstreamReport& aReport) const
{
  return aReport.m_birth == m_birth &&
         aReport.m_place.m_instance == m_place.m_instance;
}

bool
UpstreamRegister::IsOutdated(const UpstreamReport& aReport) const
{
  if (!aReport.m_birth) {
    // It would erase the birth by which earlier processes are told.
    return m_birth && m_announcement.m_state != UpstreamState::Absent;
  }
  if (!m_birth) {
    return false;
  }
  if (!IsFromCurrentProcess(aReport)) {
    return *aReport.m_birth <= *m_birth;
  }
  return aReport.m_number <= m_number;
}

bool
UpstreamRegister::Offer(const UpstreamReport& aReport)
{
  const UpstreamAnnouncement before = Announcement();
  const UpstreamEndpoint placeBefore = m_place;
  if (IsNews(aReport)) {
    Announce(aReport);
  }
  if (const auto departure = DepartureIn(aReport)) {
    Depart(*departure);
  }
  UpdateState();
  return before != Announcement() || placeBefore != m_place;
}

void
UpstreamRegister::Announce(const UpstreamReport& aReport)
{
  m_announcement = aReport.m_announcement;
  m_place = aReport.m_place;
  m_birth = aReport.m_birth;
  m_number = aReport.m_number;
}

void
UpstreamRegister::Depart(const UpstreamProcess& aProcess)
{
  const bool isCurrent = aProcess.m_instance == m_place.m_instance;
  // Without a birth the notice would also end later processes of the instance.
  m_departed.Add(
    { aProcess.m_instance,
      isCurrent && !aProcess.m_birth ? m_birth : aProcess.m_birth });
}

void
UpstreamRegister::UpdateState()
{
  const bool isPresent = m_announcement.m_state != UpstreamState::Absent;
  if (isPresent && m_departed.Covers({ m_place.m_instance, m_birth })) {
    m_announcement.m_state = UpstreamState::Draining;
  }
}

bool
UpstreamRegister::Adopt(const DepartedUpstreams& aDeparted)
{
  const UpstreamAnnouncement before = Announcement();
  m_departed.Merge(aDeparted);
  UpdateState();
  return before != Announcement();
}

bool
UpstreamRegister::SetHistoryKnown()
{
  const UpstreamAnnouncement before = Announcement();
  m_isHistoryKnown = true;
  return before != Announcement();
}

void
UpstreamRegister::Lapse()
{
  m_announcement.m_state = UpstreamState::Absent;
}

UpstreamAnnouncement
UpstreamRegister::Announcement() const
{
  UpstreamAnnouncement announcement = m_announcement;
  if (!m_isHistoryKnown && announcement.m_state != UpstreamState::Draining) {
    announcement.m_state = UpstreamState::Absent;
  }
  return announcement;
}

} // namespace tarragontray
