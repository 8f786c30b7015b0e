/// \file
/// An order to move a service's traffic, kept as an object of its own beside
/// the owner's configuration.
///
/// Thread safety: values.
#pragma once

#include <optional>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/MoveStatus.h"

namespace tarragontray {

struct MoveOrder
{
  /// The plan's number tells this order from others for the service.
  MoveId m_id;
  UpstreamVersion m_to;
  /// The whole traffic must be on m_to this long after the order.
  Duration m_duration{ 0 };
  /// What the platform's object says of it; not set before the first write.
  std::optional<MoveState> m_recorded;
  /// With m_recorded: when the order was first seen.
  std::optional<WallTime> m_start;

  bool operator==(const MoveOrder&) const = default;
};

} // namespace tarragontray
