/// \file
/// The evidence on both versions of a move within one time window.
///
///     EvidenceWindow window = table.TakeWindow(now);
///     Verdict verdict = judge->Judge(window);
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/EvidenceReport.h"

namespace tarragontray {

/// One of the two versions of a move.
enum class VersionSide : std::uint8_t
{
  Old,
  New,
};

/// The calls to one target over one route within the window.
struct WindowEntry
{
  RouteName m_route;
  VersionSide m_side = VersionSide::Old;
  VmId m_target;
  /// The increase within the window.
  VersionCounters m_counters;
  /// The target has had too few calls so far; the entry is not evaluated.
  bool m_hasTooFewCalls = false;
  /// The target may still be warming up; its latency is not evaluated.
  bool m_isWarming = false;
};

/// The evidence of one window, from within one data centre.
struct EvidenceWindow
{
  Duration m_length{ 0 };
  /// The highest share in force during the window; the share may rise and fall
  /// within a window.
  Share m_share = Share::None();
  /// Warm slots of each version; zero if unknown.
  SlotCount m_oldSlots{ 0 };
  SlotCount m_newSlots{ 0 };
  std::vector<WindowEntry> m_entries;
};

} // namespace tarragontray
