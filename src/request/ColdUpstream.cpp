#include "request/ColdUpstream.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// The first heartbeat that arrives after an event may have been sent before
/// it; the next one was not.
constexpr int kNeededHeartbeats = 2;
/// Wait after a health request that failed; doubles up to the longest.
constexpr Duration kLongestRequestInterval = std::chrono::seconds(1);
/// Added to the time that the upstream states, which it may have rounded down.
constexpr Duration kColdMargin = std::chrono::milliseconds(50);
/// The rate before the configuration is known.
constexpr CallRate kRateWithoutBounds{ 5.0 };

} // namespace

std::string_view
Name(ColdReason aReason)
{
  switch (aReason) {
    case ColdReason::Start:
      return "start";
    case ColdReason::NewProcess:
      return "new-process";
    case ColdReason::Unreachable:
      return "unreachable";
    case ColdReason::Silent:
      return "silent";
    case ColdReason::Evacuated:
      return "evacuated";
    case ColdReason::Reported:
      break;
  }
  return "reported";
}

void
ColdUpstream::SuspectCold(ColdReason aReason, MonotonicTime aNow)
{
  if (!m_mayBeCold) {
    m_reason = aReason;
    m_requestInterval = kFirstRequestInterval;
    m_nextRequestAt = aNow;
  }
  m_mayBeCold = true;
  m_suspectedAt = aNow;
  m_coldUntil = MonotonicTime();
  m_heartbeats = 0;
  m_lost = 0;
  // A wait for the end of the stated time does not apply any more, one after a
  // failure does.
  m_nextRequestAt = std::min(m_nextRequestAt,
                             std::max(aNow, m_requestedAt + m_requestInterval));
}

void
ColdUpstream::OnHeartbeat(const UpstreamHeartbeat& aHeartbeat,
                          MonotonicTime aNow)
{
  m_lastHeartbeat = aNow;
  const bool isNewProcess = m_process != aHeartbeat.m_process;
  if (isNewProcess) {
    SuspectCold(m_process ? ColdReason::NewProcess : ColdReason::Start, aNow);
    m_process = aHeartbeat.m_process;
  }
  ++m_heartbeats;
  // The first one of a process was sent after the process started.
  const bool isSentSinceEvent =
    isNewProcess || m_heartbeats >= kNeededHeartbeats;
  if (aHeartbeat.m_coldRemaining > Duration::zero() ||
      (isSentSinceEvent && aNow >= m_coldUntil)) {
    OnReport(aHeartbeat.m_coldRemaining, aNow);
  }
}

void
ColdUpstream::OnHealthAnswer(std::optional<Duration> aColdRemaining,
                             MonotonicTime aNow)
{
  m_isRequestOpen = false;
  if (!aColdRemaining) {
    m_nextRequestAt = aNow + m_requestInterval;
    m_requestInterval =
      std::min(2 * m_requestInterval, kLongestRequestInterval);
  } else if (m_requestedAt < m_suspectedAt) {
    m_nextRequestAt = aNow;
  } else {
    OnReport(*aColdRemaining, aNow);
  }
}

void
ColdUpstream::OnReport(Duration aColdRemaining, MonotonicTime aNow)
{
  if (aColdRemaining <= Duration::zero()) {
    m_mayBeCold = false;
    return;
  }
  if (!m_mayBeCold) {
    SuspectCold(ColdReason::Reported, aNow);
  }
  m_coldUntil = aNow + aColdRemaining;
  m_nextRequestAt = m_coldUntil + kColdMargin;
  m_requestInterval = kFirstRequestInterval;
}

void
ColdUpstream::OnCallEnded(const Answer& aAnswer, MonotonicTime aNow)
{
  // A status tells that the upstream has answered.
  const bool hasAnswer =
    aAnswer.m_outcome == CallOutcome::Done || aAnswer.m_http.m_status != 0;
  if (hasAnswer) {
    m_lost = 0;
    if (aAnswer.m_notice && aAnswer.m_notice->m_coldRemaining &&
        *aAnswer.m_notice->m_coldRemaining > Duration::zero()) {
      OnReport(*aAnswer.m_notice->m_coldRemaining, aNow);
    }
    return;
  }
  const bool hadNoConnection = aAnswer.m_outcome == CallOutcome::NotRun;
  ++m_lost;
  if (hadNoConnection || m_lost >= kMaxLost) {
    SuspectCold(ColdReason::Unreachable, aNow);
  }
}

void
ColdUpstream::Tick(MonotonicTime aNow)
{
  if (m_lastHeartbeat && aNow >= *m_lastHeartbeat + kMaxSilence) {
    m_lastHeartbeat.reset();
    SuspectCold(ColdReason::Silent, aNow);
  }
}

std::optional<MonotonicTime>
ColdUpstream::NextTick() const
{
  std::optional<MonotonicTime> next;
  if (m_lastHeartbeat) {
    next = *m_lastHeartbeat + kMaxSilence;
  }
  if (IsHealthDue()) {
    next = std::min(next.value_or(m_nextRequestAt), m_nextRequestAt);
  }
  return next;
}

bool
ColdUpstream::IsHealthDue() const
{
  return m_mayBeCold && m_isInUse && !m_isRequestOpen && m_bounds &&
         m_bounds->m_rate && !m_bounds->m_healthTarget.empty();
}

bool
ColdUpstream::TakeHealthRequest(MonotonicTime aNow)
{
  if (!IsHealthDue() || aNow < m_nextRequestAt) {
    return false;
  }
  m_isRequestOpen = true;
  m_requestedAt = aNow;
  return true;
}

const std::string&
ColdUpstream::HealthTarget() const
{
  static const std::string kNone;
  return m_bounds ? m_bounds->m_healthTarget : kNone;
}

std::optional<CallRate>
ColdUpstream::Rate() const
{
  if (!m_mayBeCold) {
    return std::nullopt;
  }
  return m_bounds ? m_bounds->m_rate : kRateWithoutBounds;
}

} // namespace tarragontray
