#include "process/PullSchedule.h"

#include <algorithm>

namespace tarragontray {

namespace {

constexpr std::size_t kMaxFailures = 16;

/// True when this node's state has not changed since the pull was scheduled,
/// and still differs from the peer's.
template<typename T>
bool
IsUnchangedAndDifferent(const T& aThen, const T& aNow, const T& aTheirs)
{
  return aThen == aNow && aNow != aTheirs;
}

} // namespace

bool
IsBehind(const StateDigest& aMine, const StateDigest& aTheirs)
{
  return aTheirs.m_documents.m_highest > aMine.m_documents.m_highest;
}

PullSchedule::PullSchedule(const PullSettings& aSettings, Random& aRandom)
  : m_settings(aSettings)
  , m_random(&aRandom)
{
}

void
PullSchedule::Offer(const PullCandidate& aCandidate,
                    const StateDigest& aMine,
                    MonotonicTime aNow)
{
  if (aCandidate.m_theirs == aMine) {
    m_differsSince.reset();
    return;
  }
  if (!m_differsSince) {
    m_differsSince = aNow;
  }
  const MonotonicTime due = DueTime(aCandidate, aMine, aNow);
  if (!m_pending || due < m_pending->m_due) {
    m_pending = Pending{ aCandidate, aMine, due };
  }
}

std::optional<PullCandidate>
PullSchedule::Take(const StateDigest& aMine, MonotonicTime aNow)
{
  if (m_running && aNow >= *m_running) {
    Failed(aNow);
  }
  if (m_running || !m_pending || aNow < m_pending->m_due) {
    return std::nullopt;
  }
  const bool isWanted = IsStillWanted(aMine, aNow);
  std::optional<PullCandidate> candidate = m_pending->m_candidate;
  m_pending.reset();
  if (!isWanted) {
    return std::nullopt;
  }
  m_running = aNow + m_settings.m_timeout;
  m_differsSince.reset();
  return candidate;
}

void
PullSchedule::Failed(MonotonicTime aNow)
{
  Finish(std::min(m_failures + 1, kMaxFailures));
  Duration limit = m_settings.m_firstBackoff;
  for (std::size_t i = 1; i < m_failures && limit < m_settings.m_maxBackoff;
       ++i) {
    limit *= 2;
  }
  m_notBefore = aNow + RandomUpTo(std::min(limit, m_settings.m_maxBackoff));
}

MonotonicTime
PullSchedule::NextTick() const
{
  if (m_running) {
    return *m_running;
  }
  return m_pending ? m_pending->m_due : MonotonicTime::max();
}

void
PullSchedule::Finish(std::size_t aFailures)
{
  m_running.reset();
  m_failures = aFailures;
}

MonotonicTime
PullSchedule::DueTime(const PullCandidate& aCandidate,
                      const StateDigest& aMine,
                      MonotonicTime aNow)
{
  Duration wait{ 0 };
  if (aCandidate.m_isRetry) {
    wait = Duration(0);
  } else if (aCandidate.m_isJoining) {
    wait = m_settings.m_joinWait + RandomUpTo(m_settings.m_joinWait);
  } else if (!IsBehind(aMine, aCandidate.m_theirs)) {
    const bool isInDocuments =
      aCandidate.m_theirs.m_documents != aMine.m_documents;
    const Duration least = isInDocuments ? m_settings.m_differenceWait / 2
                                         : m_settings.m_differenceWait;
    wait = least + RandomUpTo(least / 2);
  } else if (aCandidate.m_path) {
    wait = m_settings.m_pathWait;
  } else {
    wait = m_settings.m_behindWait + RandomUpTo(m_settings.m_behindWait);
  }
  return std::max(aNow + wait, m_notBefore);
}

Duration
PullSchedule::RandomUpTo(Duration aLimit)
{
  return Duration(
    m_random->Below(static_cast<std::uint64_t>(aLimit.count()) + 1));
}

bool
PullSchedule::IsStillWanted(const StateDigest& aMine, MonotonicTime aNow) const
{
  const StateDigest& theirs = m_pending->m_candidate.m_theirs;
  if (theirs == aMine) {
    return false;
  }
  const bool isOld =
    m_differsSince && aNow - *m_differsSince >= m_settings.m_maxDifferenceTime;
  const StateDigest& then = m_pending->m_mine;
  const bool isStuck =
    IsUnchangedAndDifferent(
      then.m_documents, aMine.m_documents, theirs.m_documents) ||
    IsUnchangedAndDifferent(
      then.m_members, aMine.m_members, theirs.m_members) ||
    IsUnchangedAndDifferent(then.m_moves, aMine.m_moves, theirs.m_moves);
  return isOld || isStuck || m_pending->m_candidate.m_isJoining ||
         IsBehind(aMine, theirs);
}

} // namespace tarragontray
