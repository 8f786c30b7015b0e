/// \file
/// What was seen of both versions of a move within one window of time.
///
///     EvidenceWindow window = table.TakeWindow(plan, now);
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

/// Which of the two versions of a move.
enum class VersionSide : std::uint8_t
{
  Old,
  New,
};

/// One target's calls over one route within the window.
struct WindowEntry
{
  RouteName m_route;
  VersionSide m_side = VersionSide::Old;
  VmId m_target;
  /// Only what came within the window.
  VersionCounters m_counters;
  /// The target has had few calls so far: nothing of it counts.
  bool m_hasTooFewCalls = false;
  /// The target may still be cold: its latency does not count.
  bool m_isWarming = false;
};

/// The evidence of one window, all of one data centre.
struct EvidenceWindow
{
  Duration m_length{ 0 };
  /// The highest share that was in force: it may rise and fall again within
  /// the window.
  Share m_share = Share::None();
  /// Warm slots of each version, zero when not known.
  SlotCount m_oldSlots{ 0 };
  SlotCount m_newSlots{ 0 };
  std::vector<WindowEntry> m_entries;
};

} // namespace tarragontray
