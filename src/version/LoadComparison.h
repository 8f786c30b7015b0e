/// \file
/// Whether both versions of a move carry comparable load.
///
///     loads.Add(window);
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

/// Smoothed load of each version's slots.
class LoadComparison
{
public:
  /// Takes one window in.
  /// \param aIsOldHealthy the old version carried the window's load well.
  void Add(const EvidenceWindow& aWindow, bool aIsOldHealthy);

  /// The new version's slots carry at most about twice the old one's load.
  bool IsComparable() const { return m_isComparable; }

  /// The old version carried as much as the new one does now, and was healthy.
  bool IsProven() const;

private:
  struct Load
  {
    double m_new = 0.0;
    double m_old = 0.0;
  };

  Load m_smoothed;
  double m_proven = 0.0;
  bool m_isComparable = false;
};

} // namespace tarragontray
