#include "request/testing/ModelParts.h"

#include <utility>

#include "request/FairAdmission.h"
#include "request/FifoAdmission.h"
#include "request/RetryBudget.h"
#include "request/RoundRobinBalancing.h"
#include "request/TwoChoicesBalancing.h"

namespace tarragontray::testing {

namespace {

constexpr double kSlowFactor = 3;

bool
IsSlow(const ModelSettings& aSettings, std::size_t aIndex)
{
  return aSettings.m_hasDegradedTargets && aIndex + 1 == aSettings.m_targets;
}

bool
IsMisleading(const ModelSettings& aSettings, std::size_t aIndex)
{
  return aSettings.m_hasDegradedTargets && aIndex + 2 == aSettings.m_targets;
}

std::unique_ptr<AdmissionPolicy>
MakeAdmission(const ModelSettings& aSettings)
{
  if (aSettings.m_admission == AdmissionKind::Fifo) {
    return std::make_unique<FifoAdmission>(aSettings.m_queueLimit);
  }
  return FairAdmission::Create(
           { kService.m_owner, aSettings.m_queueLimit, Share::All() })
    .value();
}

} // namespace

ModelEntry::ModelEntry(const ModelSettings& aSettings, std::uint64_t aSeed)
  : m_random(aSeed)
  , m_splitter(m_random)
{
  if (aSettings.m_balancing == BalancingKind::TwoChoices) {
    m_balancing = std::make_unique<TwoChoicesBalancing>(TwoChoicesSettings{});
  } else {
    m_balancing = std::make_unique<RoundRobinBalancing>();
  }
  if (aSettings.m_retries == RetryKind::Budget) {
    m_retries = std::make_unique<RetryBudget>(RetryBudgetSettings{});
  } else {
    m_retries = std::make_unique<ThreeTries>();
  }
  m_policies = std::make_unique<TrafficPolicies>(
    TrafficPolicies{ *m_balancing, m_splitter, *m_retries, m_random });
}

ModelUpstream
MakeUpstream(const ModelSettings& aSettings,
             std::size_t aIndex,
             MonotonicTime aNow)
{
  ModelUpstream upstream;
  upstream.m_isMisleading = IsMisleading(aSettings, aIndex);
  upstream.m_trueSlots = aSettings.m_slots;
  upstream.m_speed = IsSlow(aSettings, aIndex) ? 1 / kSlowFactor : 1;
  upstream.m_guard = std::make_unique<Guard>(
    Guard::Create(GuardSettings{}, MakeAdmission(aSettings)).value());
  const SlotCount announced = MakeTarget(aSettings, aIndex).m_slots;
  upstream.m_guard->SetUpstream(
    { kService, kVersion, UpstreamState::Live, announced }, aNow);
  return upstream;
}

Target
MakeTarget(const ModelSettings& aSettings, std::size_t aIndex)
{
  Target target;
  target.m_vm = VmId("vm-" + std::to_string(aIndex));
  target.m_version = kVersion;
  const std::uint32_t factor = IsMisleading(aSettings, aIndex) ? 2 : 1;
  target.m_slots = SlotCount(aSettings.m_slots * factor);
  return target;
}

} // namespace tarragontray::testing
