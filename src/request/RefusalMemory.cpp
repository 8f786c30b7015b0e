#include "request/RefusalMemory.h"

#include <algorithm>

namespace tarragontray {

void
RefusalMemory::Record(const VmId& aVm,
                      const RefusableCall& aCall,
                      Duration aStated,
                      MonotonicTime aNow)
{
  if (aStated <= Duration::zero()) {
    return;
  }
  if (m_refusals.size() >= kMaxEntries) {
    m_refusals.clear();
  }
  m_refusals[{ aVm, aCall.m_route, aCall.m_caller }] = {
    aCall, aNow + std::min(aStated, kTrust), aNow + aStated
  };
}

std::optional<Duration>
RefusalMemory::WaitAt(const VmId& aVm,
                      const RefusableCall& aCall,
                      MonotonicTime aNow) const
{
  const auto found = m_refusals.find({ aVm, aCall.m_route, aCall.m_caller });
  if (found == m_refusals.end()) {
    return std::nullopt;
  }
  const Refusal& refusal = found->second;
  const bool isRefused =
    aNow < refusal.m_until && aCall.m_priority >= refusal.m_call.m_priority &&
    aCall.m_timeLeft <= refusal.m_call.m_timeLeft &&
    aCall.m_timeToObjective <= refusal.m_call.m_timeToObjective;
  return isRefused ? std::optional<Duration>(refusal.m_slotExpected - aNow)
                   : std::nullopt;
}

} // namespace tarragontray
