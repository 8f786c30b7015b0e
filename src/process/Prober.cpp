#include "process/Prober.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

/// Pings of one probe, the first one included.
constexpr std::size_t kMaxPings = 3;

} // namespace

Prober::Prober(const ProbeSettings& aSettings, Random& aRandom)
  : m_settings(aSettings)
  , m_random(&aRandom)
{
}

ProbeStep
Prober::Tick(MonotonicTime aNow, const std::vector<VmId>& aMembers)
{
  if (aNow < m_next) {
    return {};
  }
  if (m_target && aNow < m_end) {
    return Repeat(aNow);
  }
  const std::optional<VmId> failed = std::exchange(m_target, std::nullopt);
  if (failed) {
    Penalize();
  }
  ProbeStep step = Begin(aNow, aMembers);
  step.m_failed = failed;
  return step;
}

bool
Prober::OnAck(std::uint32_t aNumber)
{
  if (!m_target || aNumber != m_number) {
    return false;
  }
  m_target.reset();
  m_next = m_end;
  m_localHealth -= m_localHealth > 0 ? 1 : 0;
  return true;
}

void
Prober::Restart(MonotonicTime aNow)
{
  m_target.reset();
  m_next = aNow;
}

void
Prober::Penalize()
{
  m_localHealth = std::min(m_localHealth + 1, m_settings.m_maxLocalHealth);
}

Duration
Prober::Scaled(Duration aDuration) const
{
  return aDuration * static_cast<std::int64_t>(1 + m_localHealth);
}

ProbeStep
Prober::Begin(MonotonicTime aNow, const std::vector<VmId>& aMembers)
{
  ProbeStep step;
  m_end = aNow + Scaled(m_settings.m_interval);
  m_next = m_end;
  m_target = NextMember(aMembers);
  if (m_target) {
    m_next = std::min(m_end, aNow + Scaled(m_settings.m_timeout));
    m_number = NextNumber();
    m_pings = 1;
    step.m_ping = m_target;
    step.m_number = m_number;
  }
  return step;
}

ProbeStep
Prober::Repeat(MonotonicTime aNow)
{
  ProbeStep step;
  step.m_ping = m_target;
  step.m_number = m_number;
  step.m_needsIndirectProbes = m_pings == 1;
  ++m_pings;
  m_next = m_pings < kMaxPings
             ? std::min(m_end, aNow + Scaled(m_settings.m_timeout))
             : m_end;
  return step;
}

std::optional<VmId>
Prober::NextMember(const std::vector<VmId>& aMembers)
{
  if (aMembers.empty()) {
    return std::nullopt;
  }
  while (!m_round.empty()) {
    const VmId member = m_round.back();
    m_round.pop_back();
    if (std::binary_search(aMembers.begin(), aMembers.end(), member)) {
      return member;
    }
  }
  m_round = aMembers;
  for (std::size_t i = m_round.size() - 1; i > 0; --i) {
    std::swap(m_round[i], m_round[m_random->Below(i + 1)]);
  }
  const VmId member = m_round.back();
  m_round.pop_back();
  return member;
}

} // namespace tarragontray
