/// \file
/// Counts events of the last second.
///
///     DemandWindow demand;
///     demand.Add(1, now);
///     double perSecond = demand.LastSecond(now);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "base/Units.h"

namespace tarragontray {

/// See the file comment.
class DemandWindow
{
public:
  void Add(std::uint64_t aCount, BootTime aNow)
  {
    Advance(aNow);
    m_counts[IndexOf(m_step)] += aCount;
  }
  /// The events of the last second, to within a tenth of a second.
  std::uint64_t LastSecond(BootTime aNow)
  {
    Advance(aNow);
    std::uint64_t sum = 0;
    for (const std::uint64_t count : m_counts) {
      sum += count;
    }
    return sum;
  }

private:
  static constexpr std::size_t kSteps = 10;
  static constexpr Duration kStep = std::chrono::milliseconds(100);

  static std::size_t IndexOf(std::int64_t aStep)
  {
    return static_cast<std::size_t>(aStep) % kSteps;
  }
  void Advance(BootTime aNow)
  {
    const std::int64_t step = aNow.time_since_epoch() / kStep;
    if (step - m_step >= static_cast<std::int64_t>(kSteps)) {
      m_counts.fill(0);
      m_step = step;
    }
    for (; m_step < step; ++m_step) {
      m_counts[IndexOf(m_step + 1)] = 0;
    }
  }

  std::array<std::uint64_t, kSteps> m_counts{};
  /// The number of the current step since the boot of the VM.
  std::int64_t m_step = 0;
};

} // namespace tarragontray
