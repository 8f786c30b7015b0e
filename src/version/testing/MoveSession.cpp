#include "version/testing/MoveSession.h"

#include <algorithm>
#include <utility>

namespace tarragontray::testing {

namespace {

/// The resolution of the times in the event log.
constexpr Duration kLogResolution = std::chrono::milliseconds(100);
constexpr Duration kNoTimeout = std::chrono::hours(1);
constexpr Duration kMessageDelay = std::chrono::milliseconds(20);
/// The time until the other nodes detect that a node was paused or resumed.
constexpr Duration kDetectionTime = std::chrono::seconds(4);
/// The time after a pause in which a node need not apply the full share.
constexpr Duration kResumeTime = std::chrono::seconds(10);

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

DataCentreId
DataCentreOf(std::size_t aIndex)
{
  return DataCentreId("dc" + std::to_string(aIndex + 1));
}

MovePlan
MakePlan(const SessionSettings& aSettings, WallTime aOrigin)
{
  MovePlan plan;
  plan.m_id = MoveId{ ServiceId{ ClientAccountId("mesqel-gate"),
                                 ServiceName("box-office") },
                      PlanNumber(1) };
  plan.m_from = UpstreamVersion("v1");
  plan.m_to = UpstreamVersion("v2");
  plan.m_start = aOrigin + aSettings.m_start;
  plan.m_deadline = aOrigin + aSettings.m_deadline;
  plan.m_hold = aSettings.m_hold;
  return plan;
}

} // namespace

MoveSession::MoveSession(SessionSettings aSettings,
                         const PolicyFactory& aPolicy)
  : m_settings(std::move(aSettings))
  , m_random(m_settings.m_seed)
  , m_origin(m_clock.Now())
  , m_wallOrigin(m_clock.WallNow())
  , m_plan(MakePlan(m_settings, m_wallOrigin))
  , m_model(m_settings.m_model)
{
  MakeNodes(aPolicy);
}

void
MoveSession::MakeNodes(const PolicyFactory& aPolicy)
{
  std::set<DataCentreId> all;
  for (std::size_t dc = 0; dc < m_settings.m_dataCentres; ++dc) {
    all.insert(DataCentreOf(dc));
  }
  const auto slots = static_cast<std::uint32_t>(m_settings.m_model.m_targets *
                                                m_settings.m_model.m_slots);
  for (std::size_t i = 0; i < m_settings.m_dataCentres * m_settings.m_nodes;
       ++i) {
    Node node;
    node.m_dataCentre = i / m_settings.m_nodes;
    node.m_vm = VmId("node-" + std::to_string(i + 1));
    MovesSettings settings;
    settings.m_vm = node.m_vm;
    settings.m_incarnation = Incarnation(1);
    settings.m_dataCentre = DataCentreOf(node.m_dataCentre);
    settings.m_windowInterval = m_settings.m_evidenceInterval;
    settings.m_reportInterval = m_settings.m_evidenceInterval;
    settings.m_refreshInterval =
      std::min(settings.m_refreshInterval, 5 * m_settings.m_evidenceInterval);
    Result<Moves> moves = Moves::Create(settings, aPolicy());
    node.m_moves = std::make_unique<Moves>(std::move(moves).value());
    node.m_moves->SetDataCentres(all);
    node.m_moves->SetNodeCount(m_settings.m_nodes);
    node.m_moves->SetPlans({ m_plan }, Now());
    node.m_moves->SetWarmSlots(m_plan.m_id, SlotCount(slots), SlotCount(slots));
    node.m_splitRemainder = m_random.Fraction();
    node.m_nextTick = m_settings.m_step * m_random.Below(10);
    m_nodes.push_back(std::move(node));
  }
  std::vector<VmId> first;
  for (std::size_t i = 0; i < m_settings.m_nodes; ++i) {
    first.push_back(m_nodes[i].m_vm);
  }
  const std::optional<VmId> coordinator =
    PickCoordinator(m_plan.m_id, DataCentreOf(0), first);
  while (m_nodes[m_pausedNode].m_vm != *coordinator) {
    ++m_pausedNode;
  }
  MakeCut();
  m_lastShares.assign(m_settings.m_dataCentres, Share::None());
}

void
MoveSession::MakeCut()
{
  std::size_t others = m_settings.m_cut ? m_settings.m_cut->m_others : 0;
  for (std::size_t i = 0; m_settings.m_cut && i < m_settings.m_nodes; ++i) {
    m_nodes[i].m_isCut = i == m_pausedNode;
    if (i != m_pausedNode && others > 0) {
      m_nodes[i].m_isCut = true;
      --others;
    }
  }
}

bool
MoveSession::IsPaused(std::size_t aNode) const
{
  return aNode == m_pausedNode && m_settings.m_coordinatorPause &&
         m_settings.m_coordinatorPause->Contains(m_time);
}

bool
MoveSession::HasJustResumed(std::size_t aNode) const
{
  return aNode == m_pausedNode && m_settings.m_coordinatorPause &&
         SessionSpan{ m_settings.m_coordinatorPause->m_end,
                      m_settings.m_coordinatorPause->m_end + kResumeTime }
           .Contains(m_time);
}

bool
MoveSession::IsPartitioned(std::size_t aFrom, std::size_t aTo) const
{
  if (m_settings.m_cut && m_settings.m_cut->m_span.Contains(m_time) &&
      m_nodes[aFrom].m_isCut != m_nodes[aTo].m_isCut) {
    return true;
  }
  if (!m_settings.m_partition ||
      !m_settings.m_partition->m_span.Contains(m_time)) {
    return false;
  }
  const std::size_t isolated = m_settings.m_partition->m_dataCentre;
  return (m_nodes[aFrom].m_dataCentre == isolated) !=
         (m_nodes[aTo].m_dataCentre == isolated);
}

void
MoveSession::SetIsCoordinator(Node& aNode, bool aIsCoordinator)
{
  aNode.m_isCoordinator = aIsCoordinator;
  aNode.m_moves->SetIsCoordinator(m_plan.m_id, aIsCoordinator);
}

void
MoveSession::AssignCoordinators()
{
  const bool isPauseDetected =
    m_settings.m_coordinatorPause && m_settings.m_isCoordinatorReplaced &&
    SessionSpan{ m_settings.m_coordinatorPause->m_begin + kDetectionTime,
                 m_settings.m_coordinatorPause->m_end + kDetectionTime }
      .Contains(m_time);
  const bool isCutDetected =
    m_settings.m_cut &&
    SessionSpan{ m_settings.m_cut->m_span.m_begin + kDetectionTime,
                 m_settings.m_cut->m_span.m_end + kDetectionTime }
      .Contains(m_time);
  for (std::size_t dc = 0; dc < m_settings.m_dataCentres; ++dc) {
    for (const bool isCut : { false, true }) {
      std::vector<VmId> live;
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const bool isExcluded = (isPauseDetected && i == m_pausedNode) ||
                                (isCutDetected && m_nodes[i].m_isCut != isCut);
        if (m_nodes[i].m_dataCentre == dc && !isExcluded) {
          live.push_back(m_nodes[i].m_vm);
        }
      }
      AssignCoordinators(dc, isCut, std::move(live));
    }
  }
}

void
MoveSession::AssignCoordinators(std::size_t aDataCentre,
                                bool aIsCut,
                                std::vector<VmId> aLive)
{
  std::vector<VmId> coordinators;
  const DataCentreId dataCentre = DataCentreOf(aDataCentre);
  if (!aLive.empty()) {
    coordinators.push_back(*PickCoordinator(m_plan.m_id, dataCentre, aLive));
  }
  if (m_settings.m_hasTwoCoordinators && aLive.size() > 1) {
    std::erase(aLive, coordinators.front());
    coordinators.push_back(*PickCoordinator(m_plan.m_id, dataCentre, aLive));
  }
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = m_nodes[i];
    const bool isCoordinator =
      std::count(coordinators.begin(), coordinators.end(), node.m_vm) > 0;
    // A paused node does not receive the role change.
    if (node.m_dataCentre == aDataCentre && node.m_isCut == aIsCut &&
        !IsPaused(i) && node.m_isCoordinator != isCoordinator) {
      SetIsCoordinator(node, isCoordinator);
    }
  }
}

void
MoveSession::Observe(Node& aNode,
                     const ModelCall& aCall,
                     const ModelAnswer& aAnswer)
{
  const bool isNew = aCall.m_side == VersionSide::New;
  LocalObservation observation;
  observation.m_service = m_plan.m_id.m_service;
  observation.m_route = RouteName("route-" + std::to_string(aCall.m_route + 1));
  observation.m_version = isNew ? m_plan.m_to : m_plan.m_from;
  observation.m_target =
    VmId("target-" + std::to_string(aCall.m_dataCentre + 1) + "-" +
         std::to_string(aCall.m_target + 1) + (isNew ? "-new" : "-old"));
  const Duration latency =
    std::min(aAnswer.m_latency, m_settings.m_callTimeout.value_or(kNoTimeout));
  const bool isTimedOut = latency < aAnswer.m_latency;
  VersionCounters& delta = observation.m_delta;
  delta.m_calls = 1;
  delta.m_failures = aAnswer.m_failed || isTimedOut ? 1 : 0;
  delta.m_callerErrors = aAnswer.m_isCallerError && !isTimedOut ? 1 : 0;
  delta.m_latency[LatencyBucket(latency)] = 1;
  if (!m_settings.m_callTimeout) {
    aNode.m_moves->AddObservation(observation);
    return;
  }
  m_pending.push(
    PendingObservation{ m_time + latency,
                        ++m_sent,
                        static_cast<std::size_t>(&aNode - m_nodes.data()),
                        std::move(observation) });
}

void
MoveSession::DeliverObservations()
{
  while (!m_pending.empty() && m_pending.top().m_endAt <= m_time) {
    const PendingObservation& pending = m_pending.top();
    m_nodes[pending.m_node].m_moves->AddObservation(pending.m_observation);
    m_pending.pop();
  }
}

void
MoveSession::SimulateCall(Node& aNode, std::optional<VersionSplit> aSplit)
{
  ModelCall call;
  call.m_dataCentre = aNode.m_dataCentre;
  call.m_target = m_random.Below(m_settings.m_model.m_targets);
  double routeDraw = m_random.Fraction();
  while (call.m_route + 1 < m_settings.m_routes.size() &&
         routeDraw >= m_settings.m_routes[call.m_route]) {
    routeDraw -= m_settings.m_routes[call.m_route];
    ++call.m_route;
  }
  aNode.m_splitRemainder += aSplit ? aSplit->m_toShare.Fraction() : 0.0;
  if (aSplit && aSplit->m_toShare > Share::None() &&
      aNode.m_splitRemainder >= 1.0) {
    aNode.m_splitRemainder -= 1.0;
    call.m_side = VersionSide::New;
  }
  const ModelAnswer answer = m_model.Answer(call, m_time, m_random);
  ++m_result.m_calls;
  if (m_time >= m_settings.m_start && m_time < m_settings.m_deadline) {
    ++m_result.m_plannedCalls;
  }
  if (call.m_side == VersionSide::New) {
    ++m_result.m_newCalls;
    m_result.m_lastNewCall = m_time;
  }
  if (answer.m_isVersionFault) {
    ++m_result.m_faultyCalls;
    m_result.m_firstFaultyCall = m_result.m_firstFaultyCall.value_or(m_time);
  }
  Observe(aNode, call, answer);
}

void
MoveSession::SimulateCalls(Node& aNode)
{
  const double peak =
    m_settings.m_peak.Contains(m_time) ? m_settings.m_peakFactor : 1.0;
  const double mean = m_settings.m_callsPerSecond * peak *
                      Seconds(m_settings.m_step) /
                      static_cast<double>(m_settings.m_nodes);
  const std::size_t calls = DrawPoisson(mean, m_random);
  const std::optional<VersionSplit> split =
    aNode.m_moves->SplitOf(m_plan.m_id.m_service);
  for (std::size_t i = 0; i < calls; ++i) {
    SimulateCall(aNode, split);
  }
}

void
MoveSession::Send(std::size_t aFrom,
                  std::size_t aTo,
                  std::variant<MoveProgress, EvidenceReport> aBody)
{
  const bool isLost = m_random.Fraction() < m_settings.m_messageLoss;
  if (isLost || IsPartitioned(aFrom, aTo)) {
    return;
  }
  const auto jitter = std::chrono::duration_cast<Duration>(
    m_settings.m_messageJitter * m_random.Fraction());
  m_queue.push(Message{
    m_time + kMessageDelay + jitter, ++m_sent, aTo, std::move(aBody) });
}

void
MoveSession::Deliver()
{
  while (!m_queue.empty() && m_queue.top().m_deliverAt <= m_time) {
    const Message message = m_queue.top();
    m_queue.pop();
    if (IsPaused(message.m_to)) {
      continue;
    }
    Moves& moves = *m_nodes[message.m_to].m_moves;
    if (const auto* progress = std::get_if<MoveProgress>(&message.m_body)) {
      moves.MergeProgress(*progress, Now());
    } else {
      moves.AddReport(std::get<EvidenceReport>(message.m_body), Now());
    }
  }
}

void
MoveSession::WriteOutcome(Node& aNode, const MoveOutcome& aOutcome)
{
  if (m_settings.m_platformOutage.Contains(m_time)) {
    return;
  }
  aNode.m_moves->AcknowledgeOutcome(aOutcome.m_move);
  // The first write creates the object; later writes leave it unchanged.
  if (m_result.m_writtenOutcomes.empty()) {
    m_result.m_writtenOutcomes.push_back(aOutcome);
  }
}

void
MoveSession::Tick(std::size_t aNode)
{
  Node& node = m_nodes[aNode];
  if (m_time < node.m_nextTick) {
    return;
  }
  const MoveActions actions = node.m_moves->Tick(Now(), m_clock.WallNow());
  const std::optional<MonotonicTime> next = node.m_moves->NextTick();
  node.m_nextTick = next ? *next - m_origin : m_time + std::chrono::seconds(1);
  for (std::size_t to = 0; to < m_nodes.size(); ++to) {
    if (to == aNode) {
      continue;
    }
    for (const MoveProgress& progress : actions.m_progressUpdates) {
      Send(aNode, to, progress);
    }
    const bool isOwnCoordinator = m_nodes[to].m_isCoordinator &&
                                  m_nodes[to].m_dataCentre == node.m_dataCentre;
    for (const EvidenceReport& report : actions.m_reports) {
      if (isOwnCoordinator) {
        Send(aNode, to, report);
      }
    }
  }
  for (const MoveOutcome& outcome : actions.m_outcomes) {
    WriteOutcome(node, outcome);
  }
}

void
MoveSession::RecordStatus()
{
  const std::vector<MoveStatus> all =
    m_nodes.front().m_moves->Status(m_clock.WallNow());
  if (all.empty()) {
    return;
  }
  const MoveStatus& status = all.front();
  std::string line;
  for (std::size_t dc = 0; dc < m_settings.m_dataCentres; ++dc) {
    const auto found = status.m_shares.find(DataCentreOf(dc));
    const Share share =
      found == status.m_shares.end() ? Share::None() : found->second;
    const bool fell = share < m_lastShares[dc] && share > Share::None();
    m_result.m_comparisons += fell ? 1 : 0;
    m_lastShares[dc] = share;
    line +=
      " " + DataCentreOf(dc).Value() + "=" + std::to_string(share.Parts());
  }
  line += " state=" + std::string(Name(status.m_state));
  if (!status.m_route.IsEmpty()) {
    line += " route=" + status.m_route.Value();
  }
  if (!status.m_reason.empty()) {
    line += " reason=\"" + status.m_reason + "\"";
  }
  if (line != m_lastLine) {
    m_lastLine = line;
    const auto tenths = m_time / kLogResolution;
    m_result.m_log.push_back("t=" + std::to_string(tenths / 10) + "." +
                             std::to_string(tenths % 10) + line);
  }
}

void
MoveSession::Finish()
{
  for (const Node& node : m_nodes) {
    for (const MoveStatus& status : node.m_moves->Status(m_clock.WallNow())) {
      // The highest state reported by any node.
      if (status.m_state >= m_result.m_state) {
        m_result.m_state = status.m_state;
        m_result.m_reason = status.m_reason;
        m_result.m_route = status.m_route;
      }
    }
  }
}

SessionResult
MoveSession::Run()
{
  bool isDeadlineRecorded = false;
  while (m_time < m_settings.m_end) {
    if (m_settings.m_cancel && m_time >= *m_settings.m_cancel) {
      for (Node& node : m_nodes) {
        node.m_moves->SetPlans({}, Now());
      }
    }
    AssignCoordinators();
    Deliver();
    DeliverObservations();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (!IsPaused(i)) {
        SimulateCalls(m_nodes[i]);
        Tick(i);
      }
    }
    RecordStatus();
    if (!isDeadlineRecorded && m_time >= m_settings.m_deadline) {
      isDeadlineRecorded = true;
      m_result.m_hasFullShareInTime = true;
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (HasJustResumed(i) || IsPaused(i)) {
          continue;
        }
        const Node& node = m_nodes[i];
        const std::optional<VersionSplit> split =
          node.m_moves->SplitOf(m_plan.m_id.m_service);
        const Share share = split ? split->m_toShare : Share::None();
        m_result.m_sharesAtDeadline.push_back(share);
        m_result.m_hasFullShareInTime &= share == Share::All();
      }
    }
    m_clock.Advance(m_settings.m_step);
    m_time += m_settings.m_step;
  }
  Finish();
  return m_result;
}

} // namespace tarragontray::testing
