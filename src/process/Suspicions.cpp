#include "process/Suspicions.h"

#include <algorithm>

namespace tarragontray {

Suspicions::Suspicions(const SuspicionSettings& aSettings)
  : m_settings(aSettings)
{
}

void
Suspicions::Start(const VmId& aVm, SuspicionSource aSource, MonotonicTime aNow)
{
  const MonotonicTime deadline = Deadline(aSource, aNow);
  const MonotonicTime nextAsk =
    aSource == SuspicionSource::OwnProbe ? aNow : MonotonicTime::max();
  const auto [entry, isNew] =
    m_running.try_emplace(aVm, Suspicion{ aSource, deadline, nextAsk });
  if (!isNew && aSource == SuspicionSource::OwnProbe &&
      entry->second.m_source == SuspicionSource::Rumour) {
    entry->second = { aSource,
                      std::min(entry->second.m_deadline, deadline),
                      nextAsk };
  }
}

void
Suspicions::Extend(const VmId& aVm, MonotonicTime aNow)
{
  const auto found = m_running.find(aVm);
  if (found != m_running.end()) {
    found->second.m_deadline = Deadline(found->second.m_source, aNow);
  }
}

void
Suspicions::Postpone(Duration aDuration)
{
  for (auto& [vm, suspicion] : m_running) {
    suspicion.m_deadline += aDuration;
  }
}

std::vector<VmId>
Suspicions::TakeDuePings(MonotonicTime aNow)
{
  std::vector<VmId> asks;
  for (auto& [vm, suspicion] : m_running) {
    if (suspicion.m_nextPing <= aNow) {
      suspicion.m_nextPing = aNow + m_settings.m_askInterval;
      asks.push_back(vm);
    }
  }
  return asks;
}

std::vector<VmId>
Suspicions::TakeExpired(MonotonicTime aNow)
{
  std::vector<VmId> expired;
  for (const auto& [vm, suspicion] : m_running) {
    if (suspicion.m_deadline <= aNow) {
      expired.push_back(vm);
    }
  }
  for (const VmId& vm : expired) {
    m_running.erase(vm);
  }
  return expired;
}

MonotonicTime
Suspicions::NextTick() const
{
  MonotonicTime next = MonotonicTime::max();
  for (const auto& [vm, suspicion] : m_running) {
    next = std::min({ next, suspicion.m_deadline, suspicion.m_nextPing });
  }
  return next;
}

MonotonicTime
Suspicions::Deadline(SuspicionSource aSource, MonotonicTime aNow) const
{
  const int factor = aSource == SuspicionSource::OwnProbe ? 1 : 2;
  return aNow + factor * m_settings.m_timeout;
}

} // namespace tarragontray
