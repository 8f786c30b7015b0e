/// \file
/// The plain baseline of balancing: each target in turn.
///
///     RoundRobinBalancing policy;
///     std::optional<std::size_t> index =
///       policy.Choose(candidates, 0, dataCentre, needs, now, random);
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "request/BalancingPolicy.h"

namespace tarragontray {

class RoundRobinBalancing final : public BalancingPolicy
{
public:
  std::optional<std::size_t> Choose(
    const std::vector<const Target*>& aCandidates,
    std::size_t /*aTried*/,
    const DataCentreId& /*aOwnDataCentre*/,
    const ChoiceConstraints& /*aConstraints*/,
    MonotonicTime /*aNow*/,
    Random& /*aRandom*/) override
  {
    if (aCandidates.empty()) {
      return std::nullopt;
    }
    return m_next++ % aCandidates.size();
  }
  void Started(const VmId& /*aVm*/, MonotonicTime /*aNow*/) override {}
  void Finished(const VmId& /*aVm*/,
                const AttemptResult& /*aResult*/,
                MonotonicTime /*aNow*/) override
  {
  }

private:
  std::size_t m_next = 0;
};

} // namespace tarragontray
