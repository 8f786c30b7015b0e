#include "version/MoveCoordinator.h"

#include <algorithm>

#include "base/Hash.h"
#include "version/LoadComparison.h"

namespace tarragontray {

namespace {

/// The longest time that a new coordinator collects evidence before it raises
/// the share, and the fraction of the planned time if that is shorter.
constexpr Duration kMaxObservationTime = std::chrono::seconds(3);
constexpr int kObservationDivisor = 16;

Duration
ObservationTime(const MovePlan& aPlan)
{
  return std::min(kMaxObservationTime,
                  (aPlan.m_deadline - aPlan.m_start) / kObservationDivisor);
}

Veto
MakeVeto(const Verdict& aVerdict,
         const DataCentreId& aDataCentre,
         WallTime aWall)
{
  return Veto{ aWall, aDataCentre, aVerdict.m_route, aVerdict.m_reason };
}

} // namespace

std::optional<VmId>
PickCoordinator(const MoveId& aMove,
                const DataCentreId& aDataCentre,
                const std::vector<VmId>& aLiveVms)
{
  const std::string purpose = "steward/" + aMove.m_service.m_owner.Value() +
                              "/" + aMove.m_service.m_name.Value() + "/" +
                              std::to_string(aMove.m_plan.Value()) + "/" +
                              aDataCentre.Value();
  const std::vector<VmId> top = TopRanked(purpose, aLiveVms, 1);
  return top.empty() ? std::nullopt : std::optional<VmId>(top.front());
}

MoveCoordinator::MoveCoordinator(MovePlan aPlan,
                                 DataCentreId aDataCentre,
                                 const MovePolicy& aPolicy,
                                 Duration aReportLapse)
  : m_plan(std::move(aPlan))
  , m_dataCentre(std::move(aDataCentre))
  , m_policy(&aPolicy)
  , m_table(m_plan)
  , m_judge(aPolicy.MakeJudge(EvidenceScope::DataCentre))
  , m_reportLapse(aReportLapse)
{
}

void
MoveCoordinator::AddReport(const EvidenceReport& aReport, MonotonicTime aNow)
{
  m_reportedAt[aReport.m_reporter] = aNow;
  m_table.AddReport(aReport);
}

bool
MoveCoordinator::HasQuorum(std::size_t aNodes, MonotonicTime aNow) const
{
  const auto fresh = std::count_if(
    m_reportedAt.begin(), m_reportedAt.end(), [&](const auto& aReported) {
      return aNow - aReported.second <= m_reportLapse;
    });
  return aNodes == 0 || 2 * static_cast<std::size_t>(fresh) > aNodes;
}

void
MoveCoordinator::Begin(MonotonicTime aNow)
{
  m_begunAt = aNow;
  m_lastChange = aNow;
  m_table.SetFirstReportsAsBaseline(true);
  // This node's own evidence from before it had the role.
  m_judge->AddHistory(m_table.TakeWindow(aNow));
}

PaceInput
MoveCoordinator::Pace(const Times& aTimes,
                      const DataCentreProgress& aProgress) const
{
  return PaceInput{ m_plan,
                    aTimes.m_wall,
                    aProgress.m_share,
                    aTimes.m_now - m_lastChange,
                    m_hasPassedTrial,
                    aProgress.m_epoch,
                    m_spent };
}

bool
MoveCoordinator::Raise(const Times& aTimes, DataCentreProgress& aProgress)
{
  const Share next = m_policy->NextShare(Pace(aTimes, aProgress));
  if (next <= aProgress.m_share) {
    return false;
  }
  aProgress.m_share = next;
  m_hasRaised = true;
  if (next == Share::All()) {
    aProgress.m_fullShareSince = aTimes.m_wall;
  }
  return true;
}

bool
MoveCoordinator::Lower(Share aShare, DataCentreProgress& aProgress)
{
  if (aShare >= aProgress.m_share) {
    return false;
  }
  aProgress.m_epoch += ProgressEpoch(1);
  aProgress.m_share = aShare;
  aProgress.m_fullShareSince.reset();
  return true;
}

bool
MoveCoordinator::Advance(const WarmSlots& aSlots,
                         std::size_t aNodes,
                         const ShareUse& aUse,
                         const Times& aTimes,
                         MoveProgress& aProgress)
{
  if (!m_hasBegun) {
    m_hasBegun = true;
    Begin(aTimes.m_now);
    // Only the full share shows that a predecessor's trial passed. After a
    // trial or for a suspect version the predecessor lowered the share alike.
    const auto own = aProgress.m_dataCentres.find(m_dataCentre);
    m_hasPassedTrial = own != aProgress.m_dataCentres.end() &&
                       own->second.m_share == Share::All();
  }
  EvidenceWindow window = m_table.TakeWindow(aTimes.m_now);
  window.m_oldSlots = aSlots.m_old;
  window.m_newSlots = aSlots.m_new;
  window.m_share = aUse.m_highest;
  m_spent = aUse.m_spent;
  m_verdict = m_judge->Judge(window);
  if (aProgress.m_veto) {
    return false;
  }
  DataCentreProgress& own = aProgress.m_dataCentres[m_dataCentre];
  const bool isSuspect = m_verdict.m_kind != VerdictKind::Clear;
  if (!isSuspect && HasQuorum(aNodes, aTimes.m_now) &&
      m_policy->MustGiveUp(Pace(aTimes, own))) {
    aProgress.m_veto =
      Veto{ aTimes.m_wall, m_dataCentre, {}, "not cleared by its trials" };
    return true;
  }
  const bool isOverdue = isSuspect && m_policy->MustDecide(Pace(aTimes, own));
  if (m_verdict.m_kind == VerdictKind::Bad || isOverdue) {
    aProgress.m_veto = MakeVeto(m_verdict, m_dataCentre, aTimes.m_wall);
    return true;
  }
  if (own != m_lastProgress) {
    m_lastChange = aTimes.m_now;
  }
  bool changed = Lower(m_policy->ShareAfterTrial(Pace(aTimes, own)), own);
  // The evidence of a trial that a predecessor began may be incomplete here.
  m_hasPassedTrial |= changed && m_hasRaised;
  // Without a quorum the evidence of a trial is incomplete.
  if (isSuspect || m_verdict.m_isInDoubt || !HasQuorum(aNodes, aTimes.m_now)) {
    m_hasPassedTrial = false;
  }
  if (m_verdict.m_kind == VerdictKind::NeedsComparison) {
    changed |= Lower(
      m_policy->ComparisonShare(EqualLoadShare(aSlots.m_old, aSlots.m_new)),
      own);
  } else if (!changed && m_verdict.m_kind == VerdictKind::Clear &&
             aTimes.m_now - m_begunAt >= ObservationTime(m_plan) &&
             HasQuorum(aNodes, aTimes.m_now)) {
    m_table.SetFirstReportsAsBaseline(false);
    changed = Raise(aTimes, own);
  }
  if (changed) {
    m_lastChange = aTimes.m_now;
  }
  m_lastProgress = own;
  return changed;
}

} // namespace tarragontray
