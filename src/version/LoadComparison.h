/// \file
/// Whether both versions of a move carry comparable load.
///
///     LoadComparison loads(times);
///     loads.Add(window, isOldHealthy);
///     if (!loads.IsComparable()) { ... }
///
/// Latency and failures depend on load. A version that carries nearly all
/// calls cannot be judged fairly by another one that carries nearly none, so
/// the judge asks how many calls a second each warm slot had.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>

#include "base/Units.h"
#include "version/EvidenceWindow.h"

namespace tarragontray {

/// The share at which both versions' slots carry the same load; one half when
/// the slots are not known. Thread safety: pure function.
Share
EqualLoadShare(SlotCount aOldSlots, SlotCount aNewSlots);

/// How long after a fall of the share the versions count as comparable.
struct SettleTimes
{
  /// Until evidence of it is in.
  Duration m_settle{ 0 };
  /// The same when the load was beyond what the old version had carried:
  /// until queues have drained.
  Duration m_drain{ 0 };
};

/// Smoothed load of each version's slots.
class LoadComparison
{
public:
  explicit LoadComparison(const SettleTimes& aTimes)
    : m_times(aTimes)
  {
  }

  /// Takes one window in.
  /// \param aIsOldHealthy the old version carried the window's load well.
  void Add(const EvidenceWindow& aWindow, bool aIsOldHealthy);

  /// By the share, the new version's slots carry at most about twice the old
  /// one's load, and queues have had the time to drain.
  bool IsComparable() const
  {
    return m_isShareComparable && m_settleRemaining <= Duration::zero();
  }

  /// The old version carried as much as the new one does now, and was healthy.
  bool IsLoadProven() const;

private:
  void AddLoad(const EvidenceWindow& aWindow, Share aShare, bool aIsOldHealthy);

  SettleTimes m_times;
  Share m_lastShare = Share::None();
  /// Calls a second of both versions, smoothed.
  double m_calls = 0.0;
  /// Calls a second of each slot.
  double m_oldLoad = 0.0;
  double m_newLoad = 0.0;
  /// The highest load of the old version's slots while it was healthy.
  double m_provenLoad = 0.0;
  bool m_isShareComparable = true;
  Duration m_settleRemaining{ 0 };
};

} // namespace tarragontray
