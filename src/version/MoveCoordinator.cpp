#include "version/MoveCoordinator.h"

#include <algorithm>

#include "base/Hash.h"
#include "version/LoadComparison.h"

namespace tarragontray {

namespace {

/// Time over which a new coordinator only listens.
constexpr Duration kObservationTime = std::chrono::seconds(3);

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
                                 const MovePolicy& aPolicy)
  : m_plan(std::move(aPlan))
  , m_dataCentre(std::move(aDataCentre))
  , m_policy(&aPolicy)
  , m_table(m_plan)
  , m_judge(aPolicy.MakeJudge(EvidenceScope::DataCentre))
{
}

void
MoveCoordinator::Begin(MonotonicTime aNow)
{
  m_begunAt = aNow;
  m_lastChange = aNow;
  m_table.SetFirstReportsAsBaseline(true);
  // What this node saw itself before it had the role.
  m_judge->AddHistory(m_table.TakeWindow(aNow));
}

bool
MoveCoordinator::Raise(const Times& aTimes, DataCentreProgress& aProgress)
{
  const Share next = m_policy->NextShare(PaceInput{
    m_plan, aTimes.m_wall, aProgress.m_share, aTimes.m_now - m_lastChange });
  if (next <= aProgress.m_share) {
    return false;
  }
  aProgress.m_share = next;
  if (next == Share::All()) {
    aProgress.m_fullShareSince = aTimes.m_wall;
  }
  return true;
}

bool
MoveCoordinator::LowerForComparison(const WarmSlots& aSlots,
                                    DataCentreProgress& aProgress)
{
  const Share equal = EqualLoadShare(aSlots.m_old, aSlots.m_new);
  if (equal >= aProgress.m_share) {
    return false;
  }
  aProgress.m_epoch += ProgressEpoch(1);
  aProgress.m_share = equal;
  aProgress.m_fullShareSince.reset();
  return true;
}

bool
MoveCoordinator::Advance(const WarmSlots& aSlots,
                         Share aWindowShare,
                         const Times& aTimes,
                         MoveProgress& aProgress)
{
  if (!m_hasBegun) {
    m_hasBegun = true;
    Begin(aTimes.m_now);
  }
  EvidenceWindow window = m_table.TakeWindow(aTimes.m_now);
  window.m_oldSlots = aSlots.m_old;
  window.m_newSlots = aSlots.m_new;
  window.m_share = aWindowShare;
  m_verdict = m_judge->Judge(window);
  if (aProgress.m_veto) {
    return false;
  }
  if (m_verdict.m_kind == VerdictKind::Bad) {
    aProgress.m_veto = MakeVeto(m_verdict, m_dataCentre, aTimes.m_wall);
    return true;
  }
  DataCentreProgress& own = aProgress.m_dataCentres[m_dataCentre];
  if (own != m_lastProgress) {
    m_lastChange = aTimes.m_now;
  }
  bool changed = false;
  if (m_verdict.m_kind == VerdictKind::NeedsComparison) {
    changed = LowerForComparison(aSlots, own);
  } else if (m_verdict.m_kind == VerdictKind::Clear &&
             aTimes.m_now - m_begunAt >= kObservationTime) {
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
