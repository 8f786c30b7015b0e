#include "version/Move.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace tarragontray {

namespace {

/// The fraction of the old version's warm slots that the load requires.
constexpr double kRequiredSlotFraction = 0.8;
/// A longer gap between ticks means that the process was paused and that its
/// progress may be stale.
constexpr Duration kPauseThreshold = std::chrono::seconds(5);
/// After a pause the node sends no calls to the new version for at least
/// kMinStaleTime, and then until it has received progress of the move or
/// kMaxStaleTime has passed. kMinStaleTime exceeds a coordinator's refresh
/// interval, because the first message received may have been buffered during
/// the pause.
constexpr Duration kMinStaleTime = std::chrono::seconds(6);
constexpr Duration kMaxStaleTime = std::chrono::seconds(15);

/// A node without new evidence reports at every second interval, so
/// that the coordinator knows that it is reachable.
constexpr int kIdleReports = 2;
/// The number of those intervals after which a node counts as unreachable.
constexpr int kMaxMissedReports = 3;
/// A node reports for this long after the move was done there, since the
/// coordinator may still be collecting evidence.
constexpr Duration kReportsAfterDone = std::chrono::seconds(10);
/// How much longer than planned a node applies the share of a trial. The end of
/// the trial is spread at most 0.5 s after its beginning, and takes its time.
constexpr Duration kTrialGrace = std::chrono::milliseconds(500);

bool
IsDue(const std::optional<MonotonicTime>& aLast,
      MonotonicTime aNow,
      Duration aInterval)
{
  return !aLast || aNow - *aLast >= aInterval;
}

EvidenceReport
MakeReportHeader(const MovePlan& aPlan, const MovesSettings& aSettings)
{
  EvidenceReport head;
  head.m_move = aPlan.m_id;
  head.m_reporter = aSettings.m_vm;
  head.m_incarnation = aSettings.m_incarnation;
  head.m_dataCentre = aSettings.m_dataCentre;
  return head;
}

} // namespace

std::string_view
Name(MoveState aState)
{
  switch (aState) {
    case MoveState::Planned:
      return "planned";
    case MoveState::Moving:
      return "moving";
    case MoveState::Holding:
      return "holding";
    case MoveState::Done:
      return "done";
    case MoveState::TakenBack:
      return "taken-back";
  }
  return "unknown";
}

Move::Move(const MovePlan& aPlan,
           const MovesSettings& aSettings,
           const MovePolicy& aPolicy)
  : m_plan(aPlan)
  , m_settings(&aSettings)
  , m_policy(&aPolicy)
  , m_evidence(MakeReportHeader(aPlan, aSettings))
  , m_monitor(aPlan, aPolicy.MakeJudge(EvidenceScope::Node))
{
  m_progress.m_move = aPlan.m_id;
}

void
Move::SetDataCentres(const std::set<DataCentreId>& aDataCentres)
{
  m_dataCentres = aDataCentres;
}

MoveCoordinator
Move::MakeCoordinator() const
{
  return MoveCoordinator(m_plan,
                         m_settings->m_dataCentre,
                         *m_policy,
                         kMaxMissedReports * kIdleReports *
                           m_settings->m_reportInterval);
}

void
Move::SetIsCoordinator(bool aIsCoordinator)
{
  if (aIsCoordinator && !m_coordinator) {
    m_coordinator = MakeCoordinator();
  }
  if (!aIsCoordinator) {
    m_coordinator.reset();
  }
}

void
Move::AddObservation(const LocalObservation& aObservation)
{
  if (aObservation.m_version == m_plan.m_to) {
    m_newCalls += aObservation.m_delta.m_calls;
  }
  m_evidence.Add(aObservation);
}

void
Move::AddReport(const EvidenceReport& aReport, MonotonicTime aNow)
{
  if (m_coordinator && aReport.m_dataCentre == m_settings->m_dataCentre) {
    m_coordinator->AddReport(aReport, aNow);
  }
}

bool
Move::MergeProgress(const MoveProgress& aProgress)
{
  m_hasMergedSinceResume = true;
  const bool changed = Merge(m_progress, aProgress);
  m_windowShare = std::max(m_windowShare, DataCentreShare());
  m_mustSendProgress |= changed;
  return changed;
}

bool
Move::HasFullShareEverywhere(Duration aHold, WallTime aWall) const
{
  if (m_dataCentres.empty()) {
    return false;
  }
  return std::all_of(
    m_dataCentres.begin(), m_dataCentres.end(), [&](const DataCentreId& aId) {
      const auto found = m_progress.m_dataCentres.find(aId);
      return found != m_progress.m_dataCentres.end() &&
             found->second.m_fullShareSince &&
             *found->second.m_fullShareSince + aHold <= aWall;
    });
}

bool
Move::MayComplete(MonotonicTime aNow) const
{
  return !m_coordinator ||
         (m_coordinator->HasQuorum(m_nodeCount, aNow) &&
          m_coordinator->LastVerdict().m_kind == VerdictKind::Clear &&
          !m_coordinator->LastVerdict().m_isInDoubt);
}

bool
Move::IsUndecided() const
{
  return !m_progress.m_veto && !m_doneAt;
}

void
Move::Judge(const Times& aTimes)
{
  const Share share = std::max(m_windowShare, DataCentreShare());
  const Verdict own =
    m_monitor.Observe(m_evidence.FullReport(), m_slots, share, aTimes.m_now);
  if (own.m_kind == VerdictKind::Bad && !m_progress.m_veto) {
    m_progress.m_veto = Veto{
      aTimes.m_wall, m_settings->m_dataCentre, own.m_route, own.m_reason
    };
    m_mustSendProgress = true;
  }
  if (m_coordinator) {
    m_coordinator->AddReport(m_evidence.FullReport(), aTimes.m_now);
    m_mustSendProgress |= m_coordinator->Advance(
      m_slots, m_nodeCount, { share, m_spent }, aTimes, m_progress);
  }
  m_windowShare = DataCentreShare();
  if (!m_progress.m_veto && MayComplete(aTimes.m_now) &&
      HasFullShareEverywhere(m_plan.m_hold, aTimes.m_wall)) {
    m_doneAt = aTimes.m_wall;
  }
}

void
Move::EmitReport(MonotonicTime aNow, MoveActions& aActions)
{
  std::optional<EvidenceReport> report =
    m_evidence.TakeReport(aNow, m_settings->m_reportInterval);
  if (!report &&
      IsDue(m_lastReport, aNow, kIdleReports * m_settings->m_reportInterval)) {
    report = MakeReportHeader(m_plan, *m_settings);
  }
  if (report) {
    m_lastReport = aNow;
    aActions.m_reports.push_back(std::move(*report));
  }
}

void
Move::EmitProgress(MonotonicTime aNow, MoveActions& aActions)
{
  const bool refresh =
    m_coordinator &&
    IsDue(m_lastProgressSent, aNow, m_settings->m_refreshInterval);
  if (!m_mustSendProgress && !refresh) {
    return;
  }
  m_mustSendProgress = false;
  m_lastProgressSent = aNow;
  aActions.m_progressUpdates.push_back(m_progress);
}

void
Move::EmitOutcome(const Times& aTimes, MoveActions& aActions)
{
  const MoveState state = State(aTimes.m_wall);
  const bool isOver = state == MoveState::Done || state == MoveState::TakenBack;
  if (!isOver || !m_coordinator || m_isOutcomeWritten ||
      !IsDue(m_lastOutcome, aTimes.m_now, m_settings->m_outcomeInterval)) {
    return;
  }
  m_lastOutcome = aTimes.m_now;
  MoveOutcome outcome = OutcomeOf(m_plan, state);
  outcome.m_reason = Reason(state);
  if (m_progress.m_veto) {
    outcome.m_time = m_progress.m_veto->m_time;
    outcome.m_route = m_progress.m_veto->m_route;
  } else {
    outcome.m_time = *m_doneAt;
  }
  aActions.m_outcomes.push_back(std::move(outcome));
}

void
Move::CheckPause(MonotonicTime aNow)
{
  if (m_lastTick && aNow - *m_lastTick > kPauseThreshold) {
    m_resumedAt = aNow;
    m_hasMergedSinceResume = false;
    if (m_coordinator) {
      m_coordinator = MakeCoordinator();
    }
  }
  m_lastTick = aNow;
}

bool
Move::IsStale() const
{
  if (!m_resumedAt) {
    return false;
  }
  const Duration sinceResume = m_lastTick.value_or(*m_resumedAt) - *m_resumedAt;
  return sinceResume < kMinStaleTime ||
         (!m_hasMergedSinceResume && sinceResume < kMaxStaleTime);
}

void
Move::Tick(const Times& aTimes, MoveActions& aActions)
{
  CheckPause(aTimes.m_now);
  UpdateShareAge(aTimes.m_now);
  if (IsUndecided() &&
      IsDue(m_lastWindow, aTimes.m_now, m_settings->m_windowInterval)) {
    m_lastWindow = aTimes.m_now;
    Judge(aTimes);
  }
  const bool isOver =
    m_progress.m_veto ||
    (m_doneAt && aTimes.m_wall - *m_doneAt > kReportsAfterDone);
  // A coordinator reports, too, in case others consider another node the
  // coordinator.
  if (!isOver) {
    EmitReport(aTimes.m_now, aActions);
  }
  EmitProgress(aTimes.m_now, aActions);
  EmitOutcome(aTimes, aActions);
  const VersionSplit split = Split();
  aActions.m_splitsChanged |= m_lastSplit != split;
  m_lastSplit = split;
  const MoveState state = State(aTimes.m_wall);
  aActions.m_statesChanged |= m_lastState != state;
  m_lastState = state;
}

Share
Move::WarmSlotLimit() const
{
  if (m_slots.m_old.Value() == 0) {
    return Share::All();
  }
  return Share::FromFraction(
    static_cast<double>(m_slots.m_new.Value()) /
    (kRequiredSlotFraction * static_cast<double>(m_slots.m_old.Value())));
}

Share
Move::DataCentreShare() const
{
  return EffectiveShare(m_progress, m_settings->m_dataCentre);
}

void
Move::UpdateShareAge(MonotonicTime aNow)
{
  m_spent += std::chrono::duration_cast<Duration>(
    (aNow - m_shareCountedTo.value_or(aNow)) * m_heldShare.Fraction());
  m_shareCountedTo = aNow;
  if (DataCentreShare() != m_heldShare) {
    m_heldShare = DataCentreShare();
    m_heldSince = aNow;
  }
}

Share
Move::UnexpiredShare() const
{
  const Share share = DataCentreShare();
  if (share != m_heldShare || !m_lastTick) {
    return share;
  }
  PaceInput pace;
  pace.m_plan = m_plan;
  pace.m_share = share;
  pace.m_sinceChange = *m_lastTick - m_heldSince - kTrialGrace;
  // Only a version that has passed its trial gets the full share.
  pace.m_hasPassedTrial = share == Share::All();
  return m_policy->ShareAfterTrial(pace);
}

Share
Move::AppliedShare() const
{
  if (m_doneAt && !m_progress.m_veto) {
    return Share::All();
  }
  if (IsStale()) {
    return Share::None();
  }
  return std::min(
    { UnexpiredShare(), m_monitor.ShareLimit(), WarmSlotLimit() });
}

VersionSplit
Move::Split() const
{
  VersionSplit split;
  split.m_move = m_plan.m_id;
  split.m_from = m_plan.m_from;
  split.m_to = m_plan.m_to;
  split.m_toShare = AppliedShare();
  return split;
}

MoveState
Move::State(WallTime aWall) const
{
  if (m_progress.m_veto) {
    return MoveState::TakenBack;
  }
  if (m_doneAt) {
    return MoveState::Done;
  }
  if (HasFullShareEverywhere(Duration::zero(), aWall)) {
    return MoveState::Holding;
  }
  return aWall < m_plan.m_start ? MoveState::Planned : MoveState::Moving;
}

std::string
Move::Reason(MoveState aState) const
{
  if (m_progress.m_veto) {
    return m_progress.m_veto->m_reason;
  }
  if (aState == MoveState::Done) {
    return "nothing against it through the hold time";
  }
  if (m_coordinator &&
      m_coordinator->LastVerdict().m_kind != VerdictKind::Clear) {
    return m_coordinator->LastVerdict().m_reason;
  }
  if (aState != MoveState::Planned && WarmSlotLimit() < Share::All()) {
    return "held by warm slots new=" + std::to_string(m_slots.m_new.Value()) +
           " old=" + std::to_string(m_slots.m_old.Value());
  }
  return "";
}

MoveStatus
Move::Status(WallTime aWall) const
{
  MoveStatus status;
  status.m_plan = m_plan;
  status.m_state = State(aWall);
  for (const auto& [dataCentre, progress] : m_progress.m_dataCentres) {
    status.m_shares[dataCentre] = EffectiveShare(m_progress, dataCentre);
  }
  status.m_reason = Reason(status.m_state);
  if (m_coordinator) {
    status.m_evidence = m_coordinator->LastVerdict().m_evidence;
  }
  status.m_calls = CallCount(m_newCalls);
  if (m_progress.m_veto) {
    status.m_route = m_progress.m_veto->m_route;
    status.m_time = m_progress.m_veto->m_time;
  } else {
    status.m_time = m_doneAt;
  }
  return status;
}

} // namespace tarragontray
