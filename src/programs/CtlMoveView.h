/// \file
/// Where a move stands, from the platform's outcome and the nodes' status.
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

/// One move as an operator reads it.
struct MoveView
{
  MoveId m_move;
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  std::string m_start;
  std::string m_deadline;
  /// "planned", "moving", "holding", "done", "taken-back", "cancelled", or
  /// "unknown" when no node was asked.
  std::string m_state;
  /// The share of the new version by data centre, as far as nodes told.
  std::map<DataCentreId, Share> m_shares;
  std::string m_reason;
  std::string m_route;
  /// When it ended.
  std::string m_time;
  CallCount m_calls;

  bool IsEnded() const
  {
    return m_state == "done" || m_state == "taken-back" ||
           m_state == "cancelled";
  }
};

/// The service's plan, or its last one when it has none now. Errors: NotFound
/// when it never had one, and those of the platform.
Result<MoveView>
ReadMove(CtlSession& aSession, const ServiceId& aService);

/// One line: state, shares and reason.
std::string
TextOf(const MoveView& aView);

std::string
JsonOf(const MoveView& aView);

} // namespace tarragontray
