#include "version/testing/MoveSession.h"

#include <algorithm>
#include <utility>

namespace tarragontray::testing {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr Duration kMessageDelay = std::chrono::milliseconds(20);
/// Further delay, drawn evenly from nothing to this.
constexpr Duration kMessageJitter = std::chrono::milliseconds(200);
/// Time until the others notice that a node froze or came back.
constexpr Duration kDetectionTime = std::chrono::seconds(4);
/// Time after a freeze in which a node need not be whole.
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
    Result<Moves> moves = Moves::Create(settings, aPolicy());
    node.m_moves = std::make_unique<Moves>(std::move(moves).value());
    node.m_moves->SetDataCentres(all);
    node.m_moves->SetPlans({ m_plan }, Now());
    node.m_moves->SetWarmSlots(m_plan.m_id, SlotCount(slots), SlotCount(slots));
    node.m_splitRemainder = m_random.Fraction();
    node.m_nextTick = kStep * m_random.Below(10);
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
  m_lastShares.assign(m_settings.m_dataCentres, Share::None());
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
  if (!m_settings.m_partition ||
      !m_settings.m_partition->m_span.Contains(m_time)) {
    return false;
  }
  const std::size_t isolated = m_settings.m_partition->m_dataCentre;
  return (m_nodes[aFrom].m_dataCentre == isolated) !=
         (m_nodes[aTo].m_dataCentre == isolated);
}

void
MoveSession::SetIsCoordinator(Node& aNode, bool aOn)
{
  aNode.m_isCoordinator = aOn;
  aNode.m_moves->SetIsCoordinator(m_plan.m_id, aOn);
}

void
MoveSession::AssignCoordinators()
{
  const bool isPauseDetected =
    m_settings.m_coordinatorPause && m_settings.m_isCoordinatorReplaced &&
    SessionSpan{ m_settings.m_coordinatorPause->m_begin + kDetectionTime,
                 m_settings.m_coordinatorPause->m_end + kDetectionTime }
      .Contains(m_time);
  for (std::size_t dc = 0; dc < m_settings.m_dataCentres; ++dc) {
    std::vector<VmId> live;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      const bool isExcluded = isPauseDetected && i == m_pausedNode;
      if (m_nodes[i].m_dataCentre == dc && !isExcluded) {
        live.push_back(m_nodes[i].m_vm);
      }
    }
    std::vector<VmId> coordinators;
    coordinators.push_back(
      *PickCoordinator(m_plan.m_id, DataCentreOf(dc), live));
    if (m_settings.m_hasTwoCoordinators && live.size() > 1) {
      std::erase(live, coordinators.front());
      coordinators.push_back(
        *PickCoordinator(m_plan.m_id, DataCentreOf(dc), live));
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Node& node = m_nodes[i];
      const bool isCoordinator =
        std::count(coordinators.begin(), coordinators.end(), node.m_vm) > 0;
      // A frozen node learns nothing of it.
      if (node.m_dataCentre == dc && !IsPaused(i) &&
          node.m_isCoordinator != isCoordinator) {
        SetIsCoordinator(node, isCoordinator);
      }
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
  VersionCounters& delta = observation.m_delta;
  delta.m_calls = 1;
  delta.m_failures = aAnswer.m_failed ? 1 : 0;
  delta.m_callerErrors = aAnswer.m_isCallerError ? 1 : 0;
  delta.m_latency[LatencyBucket(aAnswer.m_latency)] = 1;
  aNode.m_moves->AddObservation(observation);
}

void
MoveSession::SimulateCall(Node& aNode, std::optional<VersionSplit> aSplit)
{
  ModelCall call;
  call.m_dataCentre = aNode.m_dataCentre;
  call.m_target = m_random.Below(m_settings.m_model.m_targets);
  double part = m_random.Fraction();
  while (call.m_route + 1 < m_settings.m_routes.size() &&
         part >= m_settings.m_routes[call.m_route]) {
    part -= m_settings.m_routes[call.m_route];
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
  const double mean = m_settings.m_callsPerSecond * peak * Seconds(kStep) /
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
  const auto jitter =
    std::chrono::duration_cast<Duration>(kMessageJitter * m_random.Fraction());
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
  // The first write creates the object; later ones find it there.
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
    const auto tenths = m_time / kStep;
    m_result.m_log.push_back("t=" + std::to_string(tenths / 10) + "." +
                             std::to_string(tenths % 10) + line);
  }
}

void
MoveSession::Finish()
{
  for (const Node& node : m_nodes) {
    for (const MoveStatus& status : node.m_moves->Status(m_clock.WallNow())) {
      // The gravest of what the nodes say.
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
    m_clock.Advance(kStep);
    m_time += kStep;
  }
  Finish();
  return m_result;
}

} // namespace tarragontray::testing
