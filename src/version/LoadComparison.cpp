#include "version/LoadComparison.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

/// Load of the new version's slots over the old one's that still compares.
constexpr double kComparableRatio = 2.0;
/// Calls in a window from which it speaks for itself.
constexpr double kWindowCalls = 50.0;
/// Windows count as at least this long.
constexpr double kMinWindowSeconds = 0.1;
/// Time constant of the smoothing.
constexpr double kSmoothingSeconds = 3.0;
/// Load over what the old version carried that still counts as carried.
constexpr double kProvenRatio = 1.25;

double
Slots(SlotCount aSlots)
{
  return std::max(1.0, static_cast<double>(aSlots.Value()));
}

bool
IsShareComparable(const EvidenceWindow& aWindow, Share aShare)
{
  const double share = aShare.Fraction();
  return share * Slots(aWindow.m_oldSlots) <=
         kComparableRatio * (1.0 - share) * Slots(aWindow.m_newSlots);
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
LoadComparison::AddLoad(const EvidenceWindow& aWindow,
                        Share aShare,
                        bool aIsOldHealthy)
{
  double all = 0.0;
  double old = 0.0;
  for (const WindowEntry& entry : aWindow.m_entries) {
    const auto calls = static_cast<double>(entry.m_counters.m_calls);
    all += calls;
    old += entry.m_side == VersionSide::Old ? calls : 0.0;
  }
  const double seconds = std::max(
    kMinWindowSeconds, std::chrono::duration<double>(aWindow.m_length).count());
  const double weight = 1.0 - std::exp(-seconds / kSmoothingSeconds);
  m_calls += weight * (all / seconds - m_calls);
  const double oldLoad = old / seconds / Slots(aWindow.m_oldSlots);
  m_oldLoad += weight * (oldLoad - m_oldLoad);
  if (aIsOldHealthy) {
    m_provenLoad = std::max(m_provenLoad, m_oldLoad);
  }
  // By the share rather than by count, since the share may have risen within
  // the window.
  const double calls =
    all >= kWindowCalls ? std::max(all / seconds, m_calls) : m_calls;
  m_newLoad = calls * aShare.Fraction() / Slots(aWindow.m_newSlots);
}

void
LoadComparison::Add(const EvidenceWindow& aWindow, bool aIsOldHealthy)
{
  const Share share = std::max(aWindow.m_share, m_lastShare);
  m_lastShare = aWindow.m_share;
  AddLoad(aWindow, share, aIsOldHealthy);
  m_isShareComparable = IsShareComparable(aWindow, share);
  if (m_isShareComparable) {
    m_settleRemaining -= std::min(m_settleRemaining, aWindow.m_length);
  } else {
    m_settleRemaining = IsLoadProven() ? m_times.m_settle : m_times.m_drain;
  }
}

bool
LoadComparison::IsLoadProven() const
{
  return m_newLoad <= kProvenRatio * m_provenLoad;
}

} // namespace tarragontray
