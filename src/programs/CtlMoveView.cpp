#include "programs/CtlMoveView.h"

#include <algorithm>
#include <cstdio>

#include <boost/json.hpp>

#include "base/TimeText.h"
#include "programs/CtlChange.h"
#include "programs/CtlNodeStatus.h"
#include "programs/CtlOutcome.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

Result<MoveView>
ViewOfPlan(const CurrentConfiguration& aCurrent, const ServiceId& aService)
{
  const auto& services = aCurrent.m_configuration.m_services;
  const auto found = std::find_if(
    services.begin(), services.end(), [&](const ServiceSpec& aSpec) {
      return aSpec.m_id == aService;
    });
  if (found == services.end() || found->m_lastPlan == PlanNumber{ 0 }) {
    return Error(ErrorCode::NotFound,
                 "move.read",
                 "",
                 "no move of " + aService.m_owner.Value() + "/" +
                   aService.m_name.Value());
  }
  MoveView view;
  view.m_move = { aService, found->m_lastPlan };
  view.m_state = found->m_move ? "unknown" : "cancelled";
  if (found->m_move) {
    view.m_from = found->m_move->m_from;
    view.m_to = found->m_move->m_to;
    view.m_start = FormatWallTime(found->m_move->m_start);
    view.m_deadline = FormatWallTime(found->m_move->m_deadline);
  }
  return view;
}

/// Keeps the larger share of each data centre. Shares increase during a move,
/// so the larger one is the more recent.
void
MergeShares(MoveView& aView, const NodeMove& aMove)
{
  for (const auto& [dataCentre, share] : aMove.m_shares) {
    Share& merged = aView.m_shares[dataCentre];
    merged = std::max(merged, share);
  }
}

/// The rank of a state when nodes report different ones; the highest is shown.
/// Nodes receive a rollback at different times, so "taken-back" ranks above the
/// other known states.
int
StateRank(const std::string& aState)
{
  const char* const kAscendingStates[] = { "unknown", "planned", "moving",
                                           "holding", "done",    "taken-back" };
  const auto* const found =
    std::find(std::begin(kAscendingStates), std::end(kAscendingStates), aState);
  return static_cast<int>(found - std::begin(kAscendingStates));
}

void
MergeNodeStatus(MoveView& aView, const NodeStatus& aStatus)
{
  for (const NodeMove& move : aStatus.m_moves) {
    if (move.m_move != aView.m_move) {
      continue;
    }
    MergeShares(aView, move);
    aView.m_calls = std::max(aView.m_calls, move.m_calls);
    if (aView.m_state == "unknown" ||
        StateRank(move.m_state) > StateRank(aView.m_state)) {
      aView.m_state = move.m_state;
      aView.m_reason = move.m_reason;
      aView.m_route = move.m_route.Value();
      aView.m_time = move.m_time;
    }
  }
}

std::string
Percent(Share aShare)
{
  char text[16];
  std::snprintf(text, sizeof text, "%.1f%%", aShare.Fraction() * 100);
  return text;
}

} // namespace

Result<MoveView>
ReadMove(CtlSession& aSession, const ServiceId& aService)
{
  BOOST_OUTCOME_TRY(const CurrentConfiguration current,
                    ReadConfiguration(aSession, aService.m_owner));
  BOOST_OUTCOME_TRY(MoveView view, ViewOfPlan(current, aService));
  if (!view.IsEnded()) {
    for (const AskedNode& node : AskNodes(aSession)) {
      if (node.m_status) {
        MergeNodeStatus(view, node.m_status.value());
      }
    }
  }
  BOOST_OUTCOME_TRY(const auto outcome, ReadOutcome(aSession, view.m_move));
  if (outcome) {
    view.m_state = outcome->m_state;
    view.m_time = outcome->m_time;
    view.m_route = outcome->m_route;
    view.m_reason = outcome->m_reason;
  }
  return view;
}

std::string
TextOf(const MoveView& aView)
{
  std::string text = aView.m_move.m_service.m_name.Value() + " plan " +
                     std::to_string(aView.m_move.m_plan.Value()) + " " +
                     aView.m_from.Value() + " -> " + aView.m_to.Value() + ": " +
                     aView.m_state;
  if (!aView.m_time.empty()) {
    text += " at " + aView.m_time;
  }
  for (const auto& [dataCentre, share] : aView.m_shares) {
    text += " " + dataCentre.Value() + "=" + Percent(share);
  }
  if (!aView.m_route.empty()) {
    text += " route=" + aView.m_route;
  }
  if (!aView.m_reason.empty()) {
    text += " reason=\"" + aView.m_reason + "\"";
  }
  if (!aView.m_deadline.empty()) {
    text += " deadline=" + aView.m_deadline;
  }
  return text;
}

std::string
JsonOf(const MoveView& aView)
{
  json::object shares;
  for (const auto& [dataCentre, share] : aView.m_shares) {
    shares[dataCentre.Value()] = share.Fraction();
  }
  return json::serialize(
    json::object{ { "account", aView.m_move.m_service.m_owner.Value() },
                  { "service", aView.m_move.m_service.m_name.Value() },
                  { "plan", aView.m_move.m_plan.Value() },
                  { "from", aView.m_from.Value() },
                  { "to", aView.m_to.Value() },
                  { "start", aView.m_start },
                  { "deadline", aView.m_deadline },
                  { "state", aView.m_state },
                  { "time", aView.m_time },
                  { "route", aView.m_route },
                  { "reason", aView.m_reason },
                  { "calls", aView.m_calls.Value() },
                  { "shares", std::move(shares) } });
}

} // namespace tarragontray
