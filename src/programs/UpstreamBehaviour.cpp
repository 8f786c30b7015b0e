#include "programs/UpstreamBehaviour.h"

#include <cmath>
#include <utility>

namespace tarragontray {

std::string_view
Name(ExecutionEnd aEnd)
{
  switch (aEnd) {
    case ExecutionEnd::Running:
      return "running";
    case ExecutionEnd::Done:
      return "done";
    case ExecutionEnd::Failed:
      return "failed";
    case ExecutionEnd::Cut:
      return "cut";
    case ExecutionEnd::Late:
      return "late";
    case ExecutionEnd::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

UpstreamBehaviour::UpstreamBehaviour(const UpstreamBehaviourSettings& aSettings,
                                     MonotonicTime aNow)
  : m_settings(aSettings)
  , m_start(aNow)
  , m_random(aSettings.m_seed)
  , m_rulesSetTime(aNow)
{
}

void
UpstreamBehaviour::SetRules(std::vector<FaultRule> aRules, MonotonicTime aNow)
{
  m_rules = std::move(aRules);
  m_rulesSetTime = aNow;
}

bool
UpstreamBehaviour::IsCold(MonotonicTime aNow) const
{
  return aNow - m_start < m_settings.m_coldTime;
}

Duration
UpstreamBehaviour::DrawServiceTime()
{
  const auto half = static_cast<double>(m_settings.m_serviceTime.count()) / 2;
  const double exponential = -std::log(1 - m_random.Fraction());
  return Duration(static_cast<std::int64_t>(half + half * exponential));
}

ExecutionPlan
UpstreamBehaviour::Plan(std::string_view aTarget,
                        std::optional<Duration> aRemaining,
                        std::uint32_t aRunning,
                        MonotonicTime aNow)
{
  ExecutionPlan plan;
  const bool isTooLate = aRemaining && *aRemaining <= Duration::zero();
  if (aRunning >= m_settings.m_slots.Value() || isTooLate) {
    plan.m_isShed = true;
    return plan;
  }
  const CallFaults faults =
    FaultsFor(m_rules, aTarget, aNow - m_rulesSetTime, aRunning);
  const double factor =
    faults.m_slow * (IsCold(aNow) ? m_settings.m_coldFactor : 1);
  const auto time = static_cast<double>(DrawServiceTime().count()) * factor;
  plan.m_time = Duration(static_cast<std::int64_t>(time));
  if (m_random.Fraction() < faults.m_fail) {
    plan.m_end = ExecutionEnd::Failed;
  } else if (m_random.Fraction() < faults.m_cut) {
    plan.m_end = ExecutionEnd::Cut;
  }
  if (aRemaining && plan.m_time > *aRemaining) {
    plan.m_time = *aRemaining;
    plan.m_end = ExecutionEnd::Late;
  }
  return plan;
}

} // namespace tarragontray
