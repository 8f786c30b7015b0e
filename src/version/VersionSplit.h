/// \file
/// How the calls of a service are split between two upstream versions.
///
///     std::optional<VersionSplit> split = moves->SplitOf(service);
///
/// Thread safety: values.
#pragma once

#include <optional>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// How the calls of a service are split between its versions.
struct VersionSplit
{
  /// Set while a move runs.
  std::optional<MoveId> m_move;
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  /// The share that goes to m_to; the rest goes to m_from.
  Share m_toShare = Share::None();

  bool operator==(const VersionSplit&) const = default;
};

} // namespace tarragontray
