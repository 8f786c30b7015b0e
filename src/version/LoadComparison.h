/// \file
/// Determines whether both versions of a move carry comparable load.
///
///     LoadComparison loads(times);
///     loads.Add(window, isOldHealthy);
///     if (!loads.IsComparable()) { ... }
///
/// Latency and failures depend on load. A version that carries nearly all calls
/// cannot be compared fairly with one that carries nearly none. The comparison
/// is therefore based on the calls per second of each warm slot.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>

#include "base/Units.h"
#include "version/EvidenceWindow.h"

namespace tarragontray {

/// The share at which both versions' slots carry the same load; one half if the
/// slots of a version are unknown. Thread safety: pure function.
Share
EqualLoadShare(SlotCount aOldSlots, SlotCount aNewSlots);

/// How long after the share was lowered the versions become comparable.
struct SettleTimes
{
  /// The time until evidence at the lower share has arrived.
  Duration m_settle{ 0 };
  /// Used instead if the load exceeded what the old version had carried: the
  /// time until queues have drained.
  Duration m_drain{ 0 };
};

/// The smoothed load of each version's slots.
class LoadComparison
{
public:
  explicit LoadComparison(const SettleTimes& aTimes)
    : m_times(aTimes)
  {
  }

  /// Adds one window.
  /// \param aIsOldHealthy whether the old version was healthy in the window.
  void Add(const EvidenceWindow& aWindow, bool aIsOldHealthy);

  /// Whether, according to the share, the new version's slots carry at most
  /// about twice the load of the old one's, and the settle time has passed.
  bool IsComparable() const
  {
    return m_isShareComparable && m_settleRemaining <= Duration::zero();
  }

  /// Whether the old version was healthy at about the new version's current
  /// load.
  bool IsLoadProven() const;

private:
  void AddLoad(const EvidenceWindow& aWindow, Share aShare, bool aIsOldHealthy);

  SettleTimes m_times;
  Share m_lastShare = Share::None();
  /// Calls per second of both versions, smoothed.
  double m_calls = 0.0;
  /// Calls per second and slot of each version.
  double m_oldLoad = 0.0;
  double m_newLoad = 0.0;
  /// The highest load of the old version's slots while it was healthy.
  double m_provenLoad = 0.0;
  bool m_isShareComparable = true;
  /// The remaining time until the versions count as comparable.
  Duration m_settleRemaining{ 0 };
};

} // namespace tarragontray
