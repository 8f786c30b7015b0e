#include "process/UpstreamRegister.h"

#include <algorithm>

namespace tarragontray {

bool
UpstreamRegister::IsFromCurrentProcess(const UpstreamReport& aReport) const
{
  return aReport.m_birth == m_birth &&
         aReport.m_place.m_instance == m_place.m_instance;
}

bool
UpstreamRegister::IsOutdated(const UpstreamReport& aReport) const
{
  if (!aReport.m_birth || !m_birth) {
    return false;
  }
  if (!IsFromCurrentProcess(aReport)) {
    return *aReport.m_birth <= *m_birth;
  }
  return aReport.m_number <= m_number;
}

bool
UpstreamRegister::Leave(const UpstreamReport& aReport)
{
  const bool isCurrent =
    aReport.m_place.m_instance == m_place.m_instance &&
    (!aReport.m_birth || !m_birth || *aReport.m_birth >= *m_birth);
  if (!isCurrent) {
    RecordLeave(aReport);
    return false;
  }
  if (m_isLeaving) {
    return false;
  }
  m_isLeaving = true;
  m_lastLeavingProcess =
    UpstreamProcess{ m_place.m_instance,
                     aReport.m_birth ? aReport.m_birth : m_birth };
  m_announcement.m_state = UpstreamState::Draining;
  return true;
}

void
UpstreamRegister::RecordLeave(const UpstreamReport& aReport)
{
  if (m_leftProcesses.size() >= kMaxLeftProcesses) {
    m_leftProcesses.pop_front();
  }
  m_leftProcesses.push_back({ aReport.m_place.m_instance, aReport.m_birth });
  m_lastLeavingProcess = m_leftProcesses.back();
}

bool
UpstreamRegister::HasLeft(const UpstreamReport& aReport) const
{
  return std::any_of(m_leftProcesses.begin(),
                     m_leftProcesses.end(),
                     [&](const UpstreamProcess& aProcess) {
                       return aProcess.m_instance ==
                                aReport.m_place.m_instance &&
                              (!aProcess.m_birth || !aReport.m_birth ||
                               *aReport.m_birth <= *aProcess.m_birth);
                     });
}

bool
UpstreamRegister::Offer(const UpstreamReport& aReport)
{
  if (aReport.m_isLeave) {
    return Leave(aReport);
  }
  if (IsOutdated(aReport)) {
    return false;
  }
  UpstreamAnnouncement announcement = aReport.m_announcement;
  if (aReport.m_birth) {
    m_isLeaving = m_isLeaving && IsFromCurrentProcess(aReport);
    m_isLeaving |=
      announcement.m_state == UpstreamState::Draining || HasLeft(aReport);
    if (m_isLeaving) {
      announcement.m_state = UpstreamState::Draining;
      m_lastLeavingProcess =
        UpstreamProcess{ aReport.m_place.m_instance, aReport.m_birth };
    }
  }
  const bool isChanged =
    announcement != m_announcement || aReport.m_place != m_place;
  m_announcement = std::move(announcement);
  m_place = aReport.m_place;
  m_birth = aReport.m_birth;
  m_number = aReport.m_number;
  return isChanged;
}

void
UpstreamRegister::Lapse()
{
  m_announcement.m_state = UpstreamState::Absent;
}

} // namespace tarragontray
