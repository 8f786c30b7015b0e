/// \file
/// The status and the outcome of a move, as shown to operators and stored in
/// the platform.
///
/// Thread safety: values.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/MovePlan.h"

namespace tarragontray {

/// The lifecycle of a move.
enum class MoveState : std::uint8_t
{
  /// The start time has not been reached.
  Planned,
  /// The share is being raised, or waits for evidence.
  Moving,
  /// All data centres have the full share; the hold time has not passed.
  Holding,
  Done,
  TakenBack,
};

/// "planned", "moving", "holding", "done" or "taken-back".
std::string_view
Name(MoveState aState);

/// The status of a move, as shown to operators.
struct MoveStatus
{
  MovePlan m_plan;
  MoveState m_state = MoveState::Planned;
  std::map<DataCentreId, Share> m_shares;
  /// The reason for the state; with figures if evidence is the cause.
  std::string m_reason;
  /// The coordinator's strongest evidence against the new version, whether or
  /// not it is sufficient for a verdict; empty on other nodes.
  std::string m_evidence;
  /// The route that the reason refers to, if any.
  RouteName m_route;
  /// When the move was rolled back or done.
  std::optional<WallTime> m_time;
  /// First attempts at the new version that this node has observed.
  CallCount m_calls;
};

/// The outcome of a move, written to the platform once.
struct MoveOutcome
{
  MoveId m_move;
  UpstreamVersion m_to;
  /// The plan's start.
  WallTime m_started{};
  /// Done or TakenBack; Moving for an order that has been accepted.
  MoveState m_state = MoveState::Done;
  WallTime m_time{};
  RouteName m_route;
  std::string m_reason;

  bool operator==(const MoveOutcome&) const = default;
};

/// An outcome of the plan's move with the time, route and reason left empty.
inline MoveOutcome
OutcomeOf(const MovePlan& aPlan, MoveState aState)
{
  MoveOutcome outcome;
  outcome.m_move = aPlan.m_id;
  outcome.m_to = aPlan.m_to;
  outcome.m_started = aPlan.m_start;
  outcome.m_state = aState;
  return outcome;
}

} // namespace tarragontray
