/// The part of ControlCore that runs traffic moves: it selects the coordinator
/// of each move, sends evidence to coordinators, spreads progress to peers and
/// records outcomes on the platform.
#include <algorithm>
#include <optional>
#include <utility>

#include "process/ControlCore.h"
#include "process/EvidenceRouting.h"
#include "process/ViewBuilder.h"

namespace tarragontray {

namespace {

/// Time between attempts to record that an order's move has started.
constexpr Duration kRecordInterval = std::chrono::seconds(1);
/// A node that was live within this time counts among the nodes of which a
/// coordinator needs a majority.
constexpr Duration kRecentlyLive = std::chrono::minutes(1);
/// How long the record of an order waits for the version that the service runs
/// on. A node that has just started knows all members by then.
constexpr Duration kNameBaseWait = std::chrono::seconds(1);

/// The version that all upstreams of the service have which an order neither
/// names now nor named before without success; not set when there are several.
std::optional<UpstreamVersion>
OnlyOtherVersion(const MembersByVm& aMembers,
                 const ServiceId& aService,
                 const UpstreamVersion& aTo,
                 const MoveBase& aBase)
{
  std::optional<UpstreamVersion> only;
  for (const auto& [vm, member] : aMembers) {
    const UpstreamAnnouncement& upstream = member.m_upstream;
    const auto& unproven = aBase.m_unproven;
    const bool isCandidate =
      member.m_state != NodeState::Dead && upstream.m_service == aService &&
      upstream.m_state != UpstreamState::Absent && upstream.m_version != aTo &&
      std::find(unproven.begin(), unproven.end(), upstream.m_version) ==
        unproven.end();
    if (!isCandidate) {
      continue;
    }
    if (only && *only != upstream.m_version) {
      return std::nullopt;
    }
    only = upstream.m_version;
  }
  return only;
}

} // namespace

std::optional<Revision>
ControlCore::OrderRevision(const MoveId& aMove) const
{
  return m_orders.RevisionOf(aMove);
}

void
ControlCore::OnOutcomeWritten(const MoveId& aMove)
{
  m_moves.AcknowledgeOutcome(aMove);
}

void
ControlCore::UpdateRoles()
{
  const auto& members = m_gossip.Members().Members();
  const MemberRecord& self = m_gossip.Members().Self();
  const std::vector<VmId> neighbours = LiveNeighbours(members, self);
  m_moves.SetDataCentres(ReachableDataCentres(members));
  for (const MovePlan& plan : Plans()) {
    const auto coordinator =
      PickCoordinator(plan.m_id, self.m_cell, neighbours);
    m_moves.SetIsCoordinator(plan.m_id, coordinator == self.m_vm);
    const auto& evacuated = m_evacuations.DataCentres();
    m_moves.SetWarmSlots(plan.m_id,
                         WarmSlots(members, plan, plan.m_from, evacuated),
                         WarmSlots(members, plan, plan.m_to, evacuated));
  }
}

std::vector<MovePlan>
ControlCore::Plans() const
{
  std::vector<MovePlan> plans = m_orders.Plans();
  for (const auto& configuration : InForce()) {
    for (const ServiceSpec& service : configuration->m_services) {
      if (service.m_move) {
        plans.push_back(*service.m_move);
      }
    }
  }
  return plans;
}

std::optional<VmId>
ControlCore::CoordinatorOf(const MoveId& aMove) const
{
  const MemberRecord& self = m_gossip.Members().Self();
  return PickCoordinator(
    aMove, self.m_cell, LiveNeighbours(m_gossip.Members().Members(), self));
}

std::optional<VersionSplit>
ControlCore::SplitOf(const ServiceId& aService) const
{
  auto split = m_moves.SplitOf(aService);
  return split ? split : m_orders.EndedSplit(aService);
}

void
ControlCore::RecordOrders(const Times& aTimes, ControlActions& aActions)
{
  if (aTimes.m_now < m_recordAt) {
    return;
  }
  const VmId& self = m_gossip.Members().Self().m_vm;
  NameBases();
  for (const MovePlan& plan : m_orders.Plans()) {
    const bool isComplete =
      !m_orders.OrderOf(plan.m_id)->m_base.m_from.IsEmpty() ||
      aTimes.m_wall >= plan.m_start + kNameBaseWait;
    if (isComplete && !m_orders.Recorded(plan.m_id) &&
        CoordinatorOf(plan.m_id) == self) {
      m_recordAt = aTimes.m_now + kRecordInterval;
      MoveOutcome outcome = OutcomeOf(plan, MoveState::Moving);
      outcome.m_time = plan.m_start;
      aActions.m_outcomes.push_back(std::move(outcome));
    }
  }
}

void
ControlCore::RecordEnds(const Times& aTimes, ControlActions& aActions)
{
  if (aTimes.m_now < m_recordEndsAt) {
    return;
  }
  const VmId& self = m_gossip.Members().Self().m_vm;
  for (const UnrecordedEnd& end : m_orders.UnrecordedEnds()) {
    if (CoordinatorOf(end.m_plan.m_id) == self) {
      m_recordEndsAt = aTimes.m_now + kRecordInterval;
      MoveOutcome outcome = OutcomeOf(end.m_plan, end.m_state);
      outcome.m_time = aTimes.m_wall;
      outcome.m_reason = end.m_reason;
      aActions.m_outcomes.push_back(std::move(outcome));
    }
  }
}

void
ControlCore::NameBases()
{
  const auto& members = m_gossip.Members().Members();
  for (const MovePlan& plan : m_orders.Plans()) {
    const MoveBase& base = m_orders.OrderOf(plan.m_id)->m_base;
    if (!base.m_from.IsEmpty()) {
      continue;
    }
    const auto from =
      OnlyOtherVersion(members, plan.m_id.m_service, plan.m_to, base);
    if (from) {
      m_orders.NameBase(plan.m_id, *from);
    }
  }
}

void
ControlCore::TickMoves(const Times& aTimes, ControlActions& aActions)
{
  const auto next = m_moves.NextTick();
  if (!next || aTimes.m_now < *next) {
    return;
  }
  const Membership& membership = m_gossip.Members();
  m_moves.SetNodeCount(membership.Table().RecentCount(
    membership.Self().m_cell, aTimes.m_now - kRecentlyLive));
  MoveActions moves = m_moves.Tick(aTimes.m_now, aTimes.m_wall);
  for (const MoveProgress& progress : moves.m_progressUpdates) {
    m_gossip.Moves().Offer(progress, aTimes.m_now);
  }
  for (const EvidenceReport& report : moves.m_reports) {
    SendReport(report, aActions);
  }
  aActions.m_outcomes = std::move(moves.m_outcomes);
  aActions.m_movesChanged = moves.m_splitsChanged || moves.m_statesChanged;
  RecordOrders(aTimes, aActions);
  if (moves.m_splitsChanged) {
    ScheduleView(aTimes.m_now);
  }
}

void
ControlCore::SendReport(const EvidenceReport& aReport, ControlActions& aActions)
{
  const MemberRecord& self = m_gossip.Members().Self();
  const auto& members = m_gossip.Members().Members();
  const auto coordinator = CoordinatorOf(aReport.m_move);
  if (!coordinator || *coordinator == self.m_vm) {
    return;
  }
  const NetworkAddress& address = members.at(*coordinator).m_peerAddress;
  for (Datagram& datagram : PackEvidence(self.m_vm, aReport)) {
    aActions.m_send.push_back({ address, std::move(datagram) });
  }
}

} // namespace tarragontray
