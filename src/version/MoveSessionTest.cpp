/// Row by row, the failures that a move must stand. Each test is one scripted
/// session of several nodes; see version/testing/MoveSession.h.
#include "version/testing/MoveSession.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include "version/SequentialMovePolicy.h"

namespace tarragontray::testing {

namespace {

using namespace std::chrono_literals;

std::unique_ptr<MovePolicy>
MakePolicy()
{
  return SequentialMovePolicy::Create(SequentialSettings{}).value();
}

SessionResult
RunSession(const SessionSettings& aSettings)
{
  return MoveSession(aSettings, MakePolicy).Run();
}

SessionResult
RunSession(const ModelFault& aFault)
{
  SessionSettings settings;
  settings.m_model.m_faults.push_back(aFault);
  return RunSession(settings);
}

ModelFault
Failing(double aRate, SessionTime aBegin = 0s)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_failureRate = aRate;
  fault.m_begin = aBegin;
  return fault;
}

ModelFault
Slow(double aFactor)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_slowdown = aFactor;
  return fault;
}

double
FaultyFraction(const SessionResult& aResult)
{
  return static_cast<double>(aResult.m_faultyCalls) /
         static_cast<double>(aResult.m_calls);
}

Duration
Reaction(const SessionResult& aResult)
{
  return *aResult.m_lastNewCall - *aResult.m_firstFaultyCall;
}

bool
Mentions(const SessionResult& aResult, const std::string& aText)
{
  return aResult.m_reason.find(aText) != std::string::npos;
}

void
AssertTakenBack(const SessionResult& aResult)
{
  cr_assert(aResult.m_state == MoveState::TakenBack);
  cr_assert_eq(aResult.m_writtenOutcomes.size(), 1);
  cr_assert(aResult.m_writtenOutcomes.front().m_state == MoveState::TakenBack);
  cr_assert(!aResult.m_writtenOutcomes.front().m_reason.empty());
}

void
AssertDoneInTime(const SessionResult& aResult)
{
  cr_assert(aResult.m_state == MoveState::Done, "%s", aResult.m_reason.c_str());
  cr_assert(aResult.m_hasFullShareInTime);
  cr_assert_eq(aResult.m_writtenOutcomes.size(), 1);
  cr_assert(aResult.m_writtenOutcomes.front().m_state == MoveState::Done);
}

/// The first data centre went through these shares.
void
AssertStages(const SessionResult& aResult,
             const std::vector<std::string>& aStages)
{
  for (const std::string& stage : aStages) {
    const bool isSeen =
      std::any_of(aResult.m_log.begin(),
                  aResult.m_log.end(),
                  [&](const std::string& aLine) {
                    return aLine.find("dc1" + stage) != std::string::npos;
                  });
    cr_assert(isSeen, "no stage dc1%s", stage.c_str());
  }
}

} // namespace

Test(BadVersion, FailsAtOnce)
{
  const SessionResult result = RunSession(Failing(0.5));
  AssertTakenBack(result);
  cr_assert(Mentions(result, "failures"));
  cr_assert_lt(FaultyFraction(result), 0.005);
  cr_assert(Reaction(result) < 20s);
}

Test(BadVersion, FailsLate)
{
  const SessionResult result = RunSession(Failing(0.3, 75s));
  AssertTakenBack(result);
  cr_assert_lt(FaultyFraction(result), 0.01);
  cr_assert(Reaction(result) < 5s);
}

Test(BadVersion, FailsInTheHoldAfterTheLastStep)
{
  const SessionResult result = RunSession(Failing(0.3, 110s));
  AssertTakenBack(result);
  cr_assert_lt(FaultyFraction(result), 0.03);
  cr_assert(Reaction(result) < 8s);
}

Test(BadVersion, IsSlowOnly)
{
  const SessionResult result = RunSession(Slow(2.5));
  AssertTakenBack(result);
  cr_assert_lt(FaultyFraction(result), 0.01);
}

Test(BadVersion, IsSlowUnderLoadOnly)
{
  ModelFault fault = Slow(3.0);
  fault.m_aboveLoad = 0.42;
  const SessionResult result = RunSession(fault);
  AssertTakenBack(result);
  cr_assert(Mentions(result, "only-under-load"));
  cr_assert_lt(FaultyFraction(result), 0.05);
}

Test(BadVersion, FailsOnOneRouteOnly)
{
  ModelFault fault = Failing(0.4);
  fault.m_route = 1;
  const SessionResult result = RunSession(fault);
  AssertTakenBack(result);
  cr_assert(result.m_route == RouteName("route-2"));
}

Test(BadVersion, FailsInOneDataCentreOnly)
{
  ModelFault fault = Failing(0.4);
  fault.m_dataCentre = 1;
  const SessionResult result = RunSession(fault);
  AssertTakenBack(result);
  // The veto holds everywhere, not only where the version was seen to fail.
  cr_assert_lt(result.m_newCalls, result.m_calls / 50);
}

Test(BadVersion, BlamesCallersWhereTheOldOneDoesNot)
{
  ModelFault fault = Failing(0.0);
  fault.m_callerErrorRate = 0.4;
  const SessionResult result = RunSession(fault);
  AssertTakenBack(result);
  cr_assert(Mentions(result, "caller-errors"));
}

Test(BadVersion, FailsWhileThePlatformIsOut)
{
  SessionSettings settings;
  settings.m_model.m_faults.push_back(Failing(0.4, 60s));
  settings.m_platformOutage = { 5s, 180s };
  const SessionResult result = RunSession(settings);
  AssertTakenBack(result);
  cr_assert(Reaction(result) < 10s);
}

Test(BadVersion, IsStoppedByTripwiresWhileThereIsNoSteward)
{
  SessionSettings settings;
  settings.m_dataCentres = 1;
  settings.m_model.m_faults.push_back(Failing(0.6, 75s));
  settings.m_coordinatorPause = SessionSpan{ 74s, 300s };
  settings.m_isCoordinatorReplaced = false;
  const SessionResult result = RunSession(settings);
  cr_assert(result.m_state == MoveState::TakenBack);
  cr_assert(Reaction(result) < 10s);
}

Test(BadVersion, StaysBackWhenItsStewardWakesAfterTheMove)
{
  SessionSettings settings;
  settings.m_dataCentres = 1;
  settings.m_model.m_faults.push_back(Failing(0.4, 85s));
  settings.m_coordinatorPause = SessionSpan{ 84s, 180s };
  const SessionResult result = RunSession(settings);
  AssertTakenBack(result);
  // Only the woken node's calls before its first tick use its old share.
  cr_assert(*result.m_lastNewCall < 180200ms);
  cr_assert_lt(FaultyFraction(result), 0.02);
}

Test(BadVersion, StaysBackBetweenTwoStewards)
{
  SessionSettings settings;
  settings.m_hasTwoCoordinators = true;
  settings.m_model.m_faults.push_back(Failing(0.4, 60s));
  const SessionResult result = RunSession(settings);
  AssertTakenBack(result);
  cr_assert(Reaction(result) < 10s);
}

Test(BadVersion, IsTakenBackInADataCentreThatWasCutOff)
{
  SessionSettings settings;
  ModelFault fault = Failing(0.5, 50s);
  fault.m_dataCentre = 0;
  settings.m_model.m_faults.push_back(fault);
  settings.m_partition = SessionPartition{ 1, { 45s, 75s } };
  const SessionResult result = RunSession(settings);
  AssertTakenBack(result);
  // The cut-off side goes on by its own evidence until the cut heals.
  cr_assert(*result.m_lastNewCall > 70s);
  cr_assert(*result.m_lastNewCall < 82s);
}

Test(GoodVersion, WithOneSickTargetIsDone)
{
  ModelFault fault = Failing(0.8, 40s);
  fault.m_dataCentre = 0;
  fault.m_target = 2;
  AssertDoneInTime(RunSession(fault));
}

Test(GoodVersion, InALoadPeakOfBothVersionsIsDone)
{
  SessionSettings settings;
  settings.m_peakFactor = 2.6;
  settings.m_peak = { 85s, 105s };
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, WithAFaultOfBothVersionsIsDone)
{
  ModelFault fault = Failing(0.7, 88s);
  fault.m_side.reset();
  fault.m_end = 110s;
  AssertDoneInTime(RunSession(fault));
}

Test(GoodVersion, WithColdStartsIsDone)
{
  SessionSettings settings;
  settings.m_model.m_coldSlowdown = 6.0;
  settings.m_model.m_coldTime = 5s;
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, WithVeryLittleTrafficIsDone)
{
  SessionSettings settings;
  settings.m_callsPerSecond = 0.2;
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, WhileThePlatformIsOutForTheWholeMoveIsDone)
{
  SessionSettings settings;
  settings.m_platformOutage = { 0s, 150s };
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, WithADataCentreCutOffForAPartIsDone)
{
  SessionSettings settings;
  settings.m_partition = SessionPartition{ 1, { 30s, 100s } };
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, WithAStewardPausedIsDone)
{
  SessionSettings settings;
  settings.m_coordinatorPause = SessionSpan{ 30s, 90s };
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, WithoutAStewardForAWhileCatchesUpByStages)
{
  SessionSettings settings;
  settings.m_dataCentres = 1;
  settings.m_coordinatorPause = SessionSpan{ 15s, 80s };
  settings.m_isCoordinatorReplaced = false;
  const SessionResult result = RunSession(settings);
  AssertDoneInTime(result);
  AssertStages(result, { "=200 ", "=800 ", "=3200 ", "=5000 " });
}

Test(GoodVersion, BetweenTwoStewardsIsDone)
{
  SessionSettings settings;
  settings.m_hasTwoCoordinators = true;
  AssertDoneInTime(RunSession(settings));
}

Test(GoodVersion, IsPacedBySmallGrowingSteps)
{
  const SessionResult result = RunSession(SessionSettings{});
  AssertDoneInTime(result);
  cr_assert_eq(result.m_comparisons, 0);
  AssertStages(result, { "=100 ", "=200 ", "=400 ", "=800 ", "=3200 " });
}

Test(CancelledMove, GivesTheOldVersionBack)
{
  SessionSettings settings;
  settings.m_cancel = 90s;
  const SessionResult result = RunSession(settings);
  cr_assert_gt(result.m_newCalls, 0);
  cr_assert(*result.m_lastNewCall < 90s);
  cr_assert(result.m_writtenOutcomes.empty());
}

} // namespace tarragontray::testing
