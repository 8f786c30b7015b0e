#include "request/VersionSplitter.h"

#include "base/Hash.h"

namespace tarragontray {

const UpstreamVersion&
VersionSplitter::Choose(const VersionSplit& aSplit)
{
  if (!aSplit.m_move || aSplit.m_toShare == Share::None()) {
    return aSplit.m_from;
  }
  Phase& phase = PhaseOf(*aSplit.m_move);
  phase.m_accumulator += aSplit.m_toShare.Parts();
  if (phase.m_accumulator < Share::kDenominator) {
    return aSplit.m_from;
  }
  phase.m_accumulator -= Share::kDenominator;
  return aSplit.m_to;
}

const UpstreamVersion&
VersionSplitter::ChooseForKey(const VersionSplit& aSplit,
                              const OperationId& aOperation)
{
  if (!aSplit.m_move) {
    return aSplit.m_from;
  }
  const std::uint64_t seed = aSplit.m_move->m_plan.Value();
  const std::uint64_t part =
    StableHash(aOperation.Value(), seed) % Share::kDenominator;
  return part < aSplit.m_toShare.Parts() ? aSplit.m_to : aSplit.m_from;
}

VersionSplitter::Phase&
VersionSplitter::PhaseOf(const MoveId& aMove)
{
  const auto found = m_phases.find(aMove.m_service);
  if (found != m_phases.end() && found->second.m_plan == aMove.m_plan) {
    return found->second;
  }
  if (m_phases.size() >= kMaxServices) {
    m_phases.clear();
  }
  Phase& phase = m_phases[aMove.m_service];
  phase.m_plan = aMove.m_plan;
  phase.m_accumulator =
    static_cast<std::uint32_t>(m_random.Below(Share::kDenominator));
  return phase;
}

} // namespace tarragontray
