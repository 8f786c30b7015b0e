#include "version/LoadComparison.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

/// Load of the new version's slots over the old one's that still compares.
constexpr double kComparableRatio = 2.0;
/// Calls in a window from which it speaks for itself.
constexpr double kWindowCalls = 20.0;
/// Time constant of the smoothing.
constexpr double kSmoothingSeconds = 3.0;
/// Load over what the old version carried that still counts as carried.
constexpr double kProvenRatio = 1.25;

double
Slots(SlotCount aSlots)
{
  return std::max(1.0, static_cast<double>(aSlots.Value()));
}

} // namespace

Share
EqualLoadShare(SlotCount aOldSlots, SlotCount aNewSlots)
{
  if (aOldSlots.Value() == 0 || aNewSlots.Value() == 0) {
    return Share::FromFraction(0.5);
  }
  return Share::FromFraction(Slots(aNewSlots) /
                             (Slots(aNewSlots) + Slots(aOldSlots)));
}

void
LoadComparison::Add(const EvidenceWindow& aWindow, bool aIsOldHealthy)
{
  Load calls;
  for (const WindowEntry& entry : aWindow.m_entries) {
    double& side = entry.m_side == VersionSide::New ? calls.m_new : calls.m_old;
    side += static_cast<double>(entry.m_counters.m_calls);
  }
  const double seconds =
    std::max(0.1, std::chrono::duration<double>(aWindow.m_length).count());
  const double weight = 1.0 - std::exp(-seconds / kSmoothingSeconds);
  const Load load{ calls.m_new / Slots(aWindow.m_newSlots) / seconds,
                   calls.m_old / Slots(aWindow.m_oldSlots) / seconds };
  m_smoothed.m_new += weight * (load.m_new - m_smoothed.m_new);
  m_smoothed.m_old += weight * (load.m_old - m_smoothed.m_old);
  if (aIsOldHealthy) {
    m_proven = std::max(m_proven, m_smoothed.m_old);
  }
  const bool isLarge = calls.m_new + calls.m_old >= kWindowCalls;
  const Load& judged = isLarge ? load : m_smoothed;
  m_isComparable = judged.m_new <= kComparableRatio * judged.m_old;
}

bool
LoadComparison::IsProven() const
{
  return m_smoothed.m_new <= kProvenRatio * m_proven;
}

} // namespace tarragontray
