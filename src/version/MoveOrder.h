/// \file
/// An order to move a service's traffic, stored as a separate object next to
/// the owner's configuration.
///
/// Successive orders for a service replace each other in one object, which also
/// holds the record of how far an order is. An order is identified by the
/// revision at which it was written, which its record repeats; neither its
/// version nor its object identifies it, since an operator may order a version
/// again.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/MoveStatus.h"

namespace tarragontray {

/// What the calls of a service ran on when an order was written.
struct MoveBase
{
  /// The last version that carried all calls; empty when it is not known.
  UpstreamVersion m_from;
  /// Versions that orders since then named and that have not carried all calls.
  std::vector<UpstreamVersion> m_unproven;

  bool operator==(const MoveBase&) const = default;
};

/// The base of the order that follows one to aTo.
/// \param aBase, aRecorded the base and the recorded state of the order to aTo.
MoveBase
NextBase(const MoveBase& aBase,
         const UpstreamVersion& aTo,
         const std::optional<MoveState>& aRecorded);

/// Hash of what an order requests; equal for an order that is written again.
using RequestHash = Amount<struct RequestHashTag>;

/// An order to move all traffic of a service to one version.
struct MoveOrder
{
  /// The plan number distinguishes this order from others for the service;
  /// later orders have higher ones.
  MoveId m_id;
  UpstreamVersion m_to;
  /// All traffic must be on m_to within this time after the order.
  Duration m_duration{ 0 };
  RequestHash m_request;
  /// The state recorded in the platform's object; empty before the first
  /// write.
  std::optional<MoveState> m_recorded;
  /// When the order was first seen; set together with m_recorded.
  std::optional<WallTime> m_start;
  MoveBase m_base;
  /// The order whose record in the platform's object tells m_base: this one, or
  /// an earlier one before the first write. Not set without a record.
  std::optional<PlanNumber> m_recordOf;

  /// Whether the object's record is that of this order.
  bool HasRecord() const { return m_recordOf == m_id.m_plan; }

  bool operator==(const MoveOrder&) const = default;
};

} // namespace tarragontray
