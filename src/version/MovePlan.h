/// \file
/// The plan of one move of a service from an old to a new upstream version.
///
/// Thread safety: values.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// What the client account asked for. Part of a configuration version.
struct MovePlan
{
  MoveId m_id;
  /// Empty: every version but m_to.
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  WallTime m_start{};
  /// The whole traffic must be on m_to by this time.
  WallTime m_deadline{};
  /// The watch after the last step, before the move counts as done.
  Duration m_hold{ 0 };

  bool operator==(const MovePlan&) const = default;
};

} // namespace tarragontray
