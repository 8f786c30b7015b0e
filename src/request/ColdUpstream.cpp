#include "request/ColdUpstream.h"

#include <algorithm>

namespace tarragontray {

namespace {

/// A heartbeat that arrives after a doubt began may have been sent before; the
/// next one was not.
constexpr int kNeededHeartbeats = 2;
/// Wait after a health request that failed; doubles up to the longest.
constexpr Duration kLongestAskInterval = std::chrono::seconds(1);
/// Added to the time that the upstream states, which it may have rounded down.
constexpr Duration kColdMargin = std::chrono::milliseconds(50);
/// The rate before the configuration is known.
constexpr CallRate kRateWithoutBounds{ 5.0 };

} // namespace

std::string_view
Name(DoubtReason aReason)
{
  switch (aReason) {
    case DoubtReason::Start:
      return "start";
    case DoubtReason::NewProcess:
      return "new-process";
    case DoubtReason::Unreachable:
      return "unreachable";
    case DoubtReason::Silent:
      return "silent";
    case DoubtReason::Evacuated:
      return "evacuated";
    case DoubtReason::Reported:
      break;
  }
  return "reported";
}

void
ColdUpstream::Doubt(DoubtReason aReason, MonotonicTime aNow)
{
  if (!m_isDoubtful) {
    m_reason = aReason;
    m_askInterval = kFirstAskInterval;
    m_askAt = aNow;
  }
  m_isDoubtful = true;
  m_doubtAt = aNow;
  m_coldUntil = MonotonicTime();
  m_heartbeats = 0;
  m_lost = 0;
  // A wait for the end of the stated time does not apply any more, one after a
  // failure does.
  m_askAt = std::min(m_askAt, std::max(aNow, m_askedAt + m_askInterval));
}

void
ColdUpstream::OnHeartbeat(const UpstreamHeartbeat& aHeartbeat,
                          MonotonicTime aNow)
{
  m_heardAt = aNow;
  const bool isNewProcess = m_process != aHeartbeat.m_process;
  if (isNewProcess) {
    Doubt(m_process ? DoubtReason::NewProcess : DoubtReason::Start, aNow);
    m_process = aHeartbeat.m_process;
  }
  ++m_heartbeats;
  // The first one of a process was sent after the process started.
  const bool isSentSinceDoubt =
    isNewProcess || m_heartbeats >= kNeededHeartbeats;
  if (aHeartbeat.m_coldRemaining > Duration::zero() ||
      (isSentSinceDoubt && aNow >= m_coldUntil)) {
    OnReport(aHeartbeat.m_coldRemaining, aNow);
  }
}

void
ColdUpstream::OnHealthAnswer(std::optional<Duration> aColdRemaining,
                             MonotonicTime aNow)
{
  m_isAsking = false;
  if (!aColdRemaining) {
    m_askAt = aNow + m_askInterval;
    m_askInterval = std::min(2 * m_askInterval, kLongestAskInterval);
  } else if (m_askedAt < m_doubtAt) {
    m_askAt = aNow;
  } else {
    OnReport(*aColdRemaining, aNow);
  }
}

void
ColdUpstream::OnReport(Duration aColdRemaining, MonotonicTime aNow)
{
  if (aColdRemaining <= Duration::zero()) {
    m_isDoubtful = false;
    return;
  }
  if (!m_isDoubtful) {
    Doubt(DoubtReason::Reported, aNow);
  }
  m_coldUntil = aNow + aColdRemaining;
  m_askAt = m_coldUntil + kColdMargin;
  m_askInterval = kFirstAskInterval;
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
    Doubt(DoubtReason::Unreachable, aNow);
  }
}

void
ColdUpstream::Tick(MonotonicTime aNow)
{
  if (m_heardAt && aNow >= *m_heardAt + kMaxSilence) {
    m_heardAt.reset();
    Doubt(DoubtReason::Silent, aNow);
  }
}

std::optional<MonotonicTime>
ColdUpstream::NextTick() const
{
  std::optional<MonotonicTime> next;
  if (m_heardAt) {
    next = *m_heardAt + kMaxSilence;
  }
  if (IsHealthDue()) {
    next = std::min(next.value_or(m_askAt), m_askAt);
  }
  return next;
}

bool
ColdUpstream::IsHealthDue() const
{
  return m_isDoubtful && m_isInUse && !m_isAsking && m_bounds &&
         m_bounds->m_rate && !m_bounds->m_healthTarget.empty();
}

bool
ColdUpstream::TakeHealthRequest(MonotonicTime aNow)
{
  if (!IsHealthDue() || aNow < m_askAt) {
    return false;
  }
  m_isAsking = true;
  m_askedAt = aNow;
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
  if (!m_isDoubtful) {
    return std::nullopt;
  }
  return m_bounds ? m_bounds->m_rate : kRateWithoutBounds;
}

} // namespace tarragontray
