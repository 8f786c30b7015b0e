/// \file
/// The plan of one move: a traffic shift of a service from an old to a new
/// upstream version.
///
/// Thread safety: values.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// The move as requested by the client account. Part of a configuration
/// version.
struct MovePlan
{
  MoveId m_id;
  /// If empty, every version except m_to.
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  WallTime m_start{};
  /// All traffic must be on m_to by this time.
  WallTime m_deadline{};
  /// How long the full share is monitored before the move counts as done.
  Duration m_hold{ 0 };

  bool operator==(const MovePlan&) const = default;
};

} // namespace tarragontray
