#include "version/Moves.h"

#include <criterion/criterion.h>

#include "version/SequentialMovePolicy.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

std::unique_ptr<MovePolicy>
MakeSequential()
{
  return SequentialMovePolicy::Create(SequentialSettings{}).value();
}

MovesSettings
OwnSettings()
{
  MovesSettings settings;
  settings.m_vm = VmId("vm-1");
  settings.m_incarnation = Incarnation(1);
  settings.m_dataCentre = DataCentreId("dc1");
  return settings;
}

MovePlan
PlanNumbered(std::uint64_t aNumber)
{
  MovePlan plan;
  plan.m_id = MoveId{ ServiceId{ ClientAccountId("vanua-voice"),
                                 ServiceName("booth-desk") },
                      PlanNumber(aNumber) };
  plan.m_from = UpstreamVersion("v1");
  plan.m_to = UpstreamVersion("v2");
  plan.m_start = WallTime(100s);
  plan.m_deadline = WallTime(200s);
  plan.m_hold = 10s;
  return plan;
}

MoveProgress
FullShareProgress(const MovePlan& aPlan)
{
  MoveProgress progress;
  progress.m_move = aPlan.m_id;
  progress.m_dataCentres[DataCentreId("dc1")] =
    DataCentreProgress{ ProgressEpoch(0), Share::All(), aPlan.m_start + 50s };
  return progress;
}

MoveProgress
VetoOf(const MovePlan& aPlan)
{
  MoveProgress progress;
  progress.m_move = aPlan.m_id;
  progress.m_veto =
    Veto{ aPlan.m_start + 20s, DataCentreId("dc2"), RouteName("buy"), "bad" };
  return progress;
}

} // namespace

Test(Moves, RejectsIncompleteSettings)
{
  MovesSettings noVm = OwnSettings();
  noVm.m_vm = VmId();
  cr_assert(!Moves::Create(noVm, MakeSequential()).has_value());
  cr_assert(!Moves::Create(OwnSettings(), nullptr).has_value());
  MovesSettings noInterval = OwnSettings();
  noInterval.m_windowInterval = 0s;
  cr_assert(!Moves::Create(noInterval, MakeSequential()).has_value());
}

Test(Moves, AppliesProgressReceivedBeforeThePlan)
{
  Moves moves = Moves::Create(OwnSettings(), MakeSequential()).value();
  const MovePlan plan = PlanNumbered(1);
  cr_assert(moves.MergeProgress(FullShareProgress(plan), MonotonicTime(1s)));
  cr_assert(!moves.SplitOf(plan.m_id.m_service).has_value());
  moves.SetPlans({ plan }, MonotonicTime(2s));
  cr_assert(moves.SplitOf(plan.m_id.m_service)->m_toShare == Share::All());
}

Test(Moves, VetoPersistsWhenPlanIsRemovedAndAddedAgain)
{
  Moves moves = Moves::Create(OwnSettings(), MakeSequential()).value();
  const MovePlan plan = PlanNumbered(1);
  moves.SetPlans({ plan }, MonotonicTime(1s));
  moves.MergeProgress(VetoOf(plan), MonotonicTime(2s));
  moves.SetPlans({}, MonotonicTime(3s));
  cr_assert(!moves.SplitOf(plan.m_id.m_service).has_value());
  moves.Tick(MonotonicTime(4s), WallTime(130s));
  moves.SetPlans({ plan }, MonotonicTime(5s));
  moves.MergeProgress(FullShareProgress(plan), MonotonicTime(6s));
  cr_assert(moves.SplitOf(plan.m_id.m_service)->m_toShare == Share::None());
  cr_assert(moves.Status(WallTime(131s)).front().m_state ==
            MoveState::TakenBack);
}

/// Each order has a plan number of its own, and ended moves are retained.
Test(Moves, EndedMovesKeepANewOneFromStarting)
{
  MovesSettings settings = OwnSettings();
  settings.m_maxMoves = 4;
  Moves moves = Moves::Create(settings, MakeSequential()).value();
  for (std::uint64_t number = 1; number <= 10; ++number) {
    moves.SetPlans({ PlanNumbered(number) }, MonotonicTime(number * 1s));
    cr_assert(moves.SplitOf(PlanNumbered(number).m_id.m_service).has_value());
  }
  cr_assert_eq(moves.RejectedCount(), 0);
  // The move in force is not forgotten.
  for (std::uint64_t number = 11; number <= 20; ++number) {
    moves.MergeProgress(FullShareProgress(PlanNumbered(number)),
                        MonotonicTime(20s));
  }
  cr_assert(moves.SplitOf(PlanNumbered(10).m_id.m_service)->m_move ==
            PlanNumbered(10).m_id);
}

Test(Moves, HigherPlanNumberWins)
{
  Moves moves = Moves::Create(OwnSettings(), MakeSequential()).value();
  MovePlan second = PlanNumbered(2);
  second.m_to = UpstreamVersion("v3");
  moves.SetPlans({ second, PlanNumbered(1) }, MonotonicTime(1s));
  cr_assert(moves.Status(WallTime(1s)).size() == 1);
  cr_assert(moves.SplitOf(second.m_id.m_service)->m_to == second.m_to);
}

Test(Moves, OutcomesAreRepeatedUntilAcknowledged)
{
  Moves moves = Moves::Create(OwnSettings(), MakeSequential()).value();
  const MovePlan plan = PlanNumbered(1);
  moves.SetPlans({ plan }, MonotonicTime(1s));
  moves.SetIsCoordinator(plan.m_id, true);
  moves.MergeProgress(VetoOf(plan), MonotonicTime(2s));
  cr_assert(moves.Tick(MonotonicTime(3s), WallTime(130s)).m_outcomes.size() ==
            1);
  cr_assert(moves.Tick(MonotonicTime(4s), WallTime(131s)).m_outcomes.empty());
  const MoveActions again = moves.Tick(MonotonicTime(9s), WallTime(136s));
  cr_assert(again.m_outcomes.size() == 1);
  cr_assert(again.m_outcomes.front().m_state == MoveState::TakenBack);
  moves.AcknowledgeOutcome(plan.m_id);
  cr_assert(moves.Tick(MonotonicTime(20s), WallTime(147s)).m_outcomes.empty());
}

Test(Moves, WarmSlotsLimitTheShare)
{
  Moves moves = Moves::Create(OwnSettings(), MakeSequential()).value();
  const MovePlan plan = PlanNumbered(1);
  moves.SetPlans({ plan }, MonotonicTime(1s));
  moves.MergeProgress(FullShareProgress(plan), MonotonicTime(2s));
  moves.SetWarmSlots(plan.m_id, SlotCount(100), SlotCount(20));
  cr_assert(moves.SplitOf(plan.m_id.m_service)->m_toShare ==
            Share::FromFraction(0.25));
  moves.SetWarmSlots(plan.m_id, SlotCount(100), SlotCount(0));
  cr_assert(moves.SplitOf(plan.m_id.m_service)->m_toShare == Share::None());
}

} // namespace tarragontray
