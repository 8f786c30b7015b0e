#include "process/DepartedUpstreams.h"

#include <algorithm>
#include <tuple>

namespace tarragontray {

namespace {

bool
IsBefore(const UpstreamProcess& aLeft, const UpstreamProcess& aRight)
{
  return std::tie(aLeft.m_birth, aLeft.m_instance) <
         std::tie(aRight.m_birth, aRight.m_instance);
}

} // namespace

bool
DepartedUpstreams::Add(const UpstreamProcess& aProcess)
{
  const auto sameInstance = std::find_if(
    m_processes.begin(), m_processes.end(), [&](const auto& aHeld) {
      return aHeld.m_instance == aProcess.m_instance &&
             aHeld.m_birth.has_value() == aProcess.m_birth.has_value();
    });
  if (sameInstance != m_processes.end()) {
    if (sameInstance->m_birth >= aProcess.m_birth) {
      return false;
    }
    m_processes.erase(sameInstance);
  }
  const auto place = std::upper_bound(
    m_processes.begin(), m_processes.end(), aProcess, IsBefore);
  if (m_processes.size() >= kMaxProcesses && place == m_processes.begin()) {
    return false;
  }
  m_processes.insert(place, aProcess);
  if (m_processes.size() > kMaxProcesses) {
    m_processes.erase(m_processes.begin());
  }
  return true;
}

bool
DepartedUpstreams::Merge(const DepartedUpstreams& aOther)
{
  bool isChanged = false;
  for (const UpstreamProcess& process : aOther.m_processes) {
    isChanged |= Add(process);
  }
  return isChanged;
}

bool
DepartedUpstreams::Covers(const UpstreamProcess& aProcess) const
{
  return std::any_of(
    m_processes.begin(), m_processes.end(), [&](const auto& aHeld) {
      return aHeld.m_instance == aProcess.m_instance &&
             (!aHeld.m_birth || !aProcess.m_birth ||
              *aProcess.m_birth <= *aHeld.m_birth);
    });
}

} // namespace tarragontray
