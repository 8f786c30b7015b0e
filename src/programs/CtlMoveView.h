/// \file
/// The state of a move, combined from the outcome that the platform stores and
/// the status that the nodes report.
///
///     BOOST_OUTCOME_TRY(auto view, ReadMove(session, service));
///
/// Thread safety: one thread.
#pragma once

#include <map>
#include <string>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "programs/CtlSession.h"

namespace tarragontray {

/// One move as shown to an operator.
struct MoveView
{
  MoveId m_move;
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  std::string m_start;
  std::string m_deadline;
  /// "planned", "moving", "holding", "done", "taken-back", "cancelled", or
  /// "unknown" if no node reported the move.
  std::string m_state;
  /// The new version's share of the traffic by data centre, for the data
  /// centres that the nodes reported.
  std::map<DataCentreId, Share> m_shares;
  std::string m_reason;
  /// The route that the reason refers to; empty if it refers to none.
  std::string m_route;
  /// Time at which the move ended.
  std::string m_time;
  CallCount m_calls;

  bool IsEnded() const
  {
    return m_state == "done" || m_state == "taken-back" ||
           m_state == "cancelled";
  }
};

/// Reads the service's planned move, or its last one if none is planned.
/// Errors: NotFound if the service never had a move, and those of the platform.
Result<MoveView>
ReadMove(CtlSession& aSession, const ServiceId& aService);

/// One line without a line end: versions, state, shares, reason and deadline.
std::string
TextOf(const MoveView& aView);

std::string
JsonOf(const MoveView& aView);

} // namespace tarragontray
