/// \file
/// An order to move a service's traffic, stored as a separate object next to
/// the owner's configuration.
///
/// Thread safety: values.
#pragma once

#include <optional>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/MoveStatus.h"

namespace tarragontray {

/// An order to move all traffic of a service to one version.
struct MoveOrder
{
  /// The plan number distinguishes this order from others for the service.
  MoveId m_id;
  UpstreamVersion m_to;
  /// All traffic must be on m_to within this time after the order.
  Duration m_duration{ 0 };
  /// The state recorded in the platform's object; empty before the first
  /// write.
  std::optional<MoveState> m_recorded;
  /// When the order was first seen; set together with m_recorded.
  std::optional<WallTime> m_start;

  bool operator==(const MoveOrder&) const = default;
};

} // namespace tarragontray
