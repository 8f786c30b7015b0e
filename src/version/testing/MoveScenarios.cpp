#include "version/testing/MoveScenarios.h"

#include <algorithm>

#include "version/testing/ScenarioDraw.h"

namespace tarragontray::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, kScenarioKinds> kNames{
  "fails-at-once",       "fails-late",
  "fails-in-hold",       "slow",
  "slow-under-load",     "caller-errors",
  "one-route",           "one-data-centre",
  "bad-little-traffic",  "bad-in-load-peak",
  "bad-platform-out",    "bad-steward-paused",
  "bad-two-stewards",    "bad-while-cut-off",
  "bad-and-disturbed",   "healthy",
  "one-sick-target",     "load-peak",
  "shared-fault",        "cold-starts",
  "little-traffic",      "platform-out",
  "data-centre-cut-off", "steward-paused",
  "two-stewards",        "two-disturbances",
};

ModelFault
Failing(Draw& aDraw)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_failureRate = aDraw.Between(0.05, 1.0);
  return fault;
}

ModelFault
AnyFault(Draw& aDraw)
{
  if (aDraw.Below(3) > 0) {
    return Failing(aDraw);
  }
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_slowdown = aDraw.Between(2.0, 5.0);
  return fault;
}

/// A time during the move, before it can be done.
SessionTime
MidMove(Draw& aDraw)
{
  return aDraw.Between(SessionTime(20s), SessionTime(95s));
}

void
MakeBad(ScenarioKind aKind, Draw& aDraw, SessionSettings& aSettings)
{
  ModelFault fault = Failing(aDraw);
  switch (aKind) {
    case ScenarioKind::FailsLate:
      fault.m_begin = MidMove(aDraw);
      break;
    case ScenarioKind::FailsInHold:
      fault.m_begin = aDraw.Between(SessionTime(98s), SessionTime(112s));
      break;
    case ScenarioKind::Slow:
      fault.m_failureRate = 0.0;
      fault.m_slowdown = aDraw.Between(2.0, 5.0);
      break;
    case ScenarioKind::SlowUnderLoad:
      fault.m_failureRate = 0.0;
      fault.m_slowdown = aDraw.Between(2.0, 5.0);
      fault.m_aboveLoad = Load(aSettings) * aDraw.Between(0.2, 0.85);
      break;
    case ScenarioKind::CallerErrors:
      fault.m_failureRate = 0.0;
      fault.m_callerErrorRate = aDraw.Between(0.15, 1.0);
      break;
    case ScenarioKind::OneRoute:
      fault = AnyFault(aDraw);
      fault.m_route = aDraw.Below(2);
      fault.m_begin = aDraw.Below(2) == 0 ? SessionTime(0) : MidMove(aDraw);
      break;
    case ScenarioKind::OneDataCentre:
      fault = AnyFault(aDraw);
      fault.m_dataCentre = aDraw.Below(aSettings.m_dataCentres);
      break;
    case ScenarioKind::BadWithLittleTraffic:
      fault.m_failureRate = aDraw.Between(0.3, 1.0);
      aSettings.m_callsPerSecond = aDraw.Between(0.5, 3.0);
      break;
    case ScenarioKind::BadInLoadPeak:
      fault.m_begin = MidMove(aDraw);
      aSettings.m_peakFactor = aDraw.Between(1.5, 2.4);
      aSettings.m_peak = { fault.m_begin - 5s, fault.m_begin + 25s };
      break;
    case ScenarioKind::BadWhilePlatformOut:
      fault = AnyFault(aDraw);
      fault.m_begin = MidMove(aDraw);
      aSettings.m_platformOutage = { 5s, 180s };
      break;
    case ScenarioKind::BadWhileCoordinatorPaused:
      fault = AnyFault(aDraw);
      fault.m_begin = MidMove(aDraw);
      aSettings.m_coordinatorPause =
        SessionSpan{ aDraw.Between(SessionTime(5s), fault.m_begin), 180s };
      break;
    case ScenarioKind::BadWhilePartitioned: {
      const SessionTime begin = aDraw.Between(SessionTime(15s), 80s);
      aSettings.m_partition =
        SessionPartition{ aDraw.Below(aSettings.m_dataCentres),
                          { begin, begin + 60s } };
      fault = AnyFault(aDraw);
      fault.m_begin = MidMove(aDraw);
      break;
    }
    case ScenarioKind::BadWithTwoCoordinators:
      fault = AnyFault(aDraw);
      fault.m_begin = MidMove(aDraw);
      aSettings.m_hasTwoCoordinators = true;
      break;
    default:
      break;
  }
  aSettings.m_model.m_faults.push_back(fault);
}

ModelFault
FaultyTarget(Draw& aDraw, const SessionSettings& aSettings)
{
  ModelFault fault;
  fault.m_dataCentre = aDraw.Below(aSettings.m_dataCentres);
  fault.m_target = aDraw.Below(aSettings.m_model.m_targets);
  fault.m_begin = MidMove(aDraw);
  if (aDraw.Below(2) == 0) {
    fault.m_failureRate = aDraw.Between(0.3, 1.0);
  } else {
    fault.m_slowdown = aDraw.Between(3.0, 8.0);
  }
  // Only the target that runs the new version is faulty; the old version's
  // target with the same index is healthy.
  fault.m_side = VersionSide::New;
  return fault;
}

ModelFault
SharedFault(Draw& aDraw)
{
  ModelFault fault;
  fault.m_begin = MidMove(aDraw);
  fault.m_end = fault.m_begin + aDraw.Between(Duration(3s), Duration(25s));
  if (aDraw.Below(2) == 0) {
    fault.m_failureRate = aDraw.Between(0.2, 1.0);
  } else {
    fault.m_slowdown = aDraw.Between(2.0, 5.0);
  }
  return fault;
}

void
MakeGood(ScenarioKind aKind, Draw& aDraw, SessionSettings& aSettings)
{
  switch (aKind) {
    case ScenarioKind::OneFaultyTarget:
      aSettings.m_model.m_faults.push_back(FaultyTarget(aDraw, aSettings));
      break;
    case ScenarioKind::LoadPeak: {
      const SessionTime begin = MidMove(aDraw);
      aSettings.m_peakFactor = aDraw.Between(1.5, 2.8);
      aSettings.m_peak = { begin,
                           begin + aDraw.Between(Duration(5s), Duration(25s)) };
      break;
    }
    case ScenarioKind::SharedFault:
      aSettings.m_model.m_faults.push_back(SharedFault(aDraw));
      break;
    case ScenarioKind::ColdStarts:
      aSettings.m_model.m_coldSlowdown = aDraw.Between(2.0, 6.0);
      aSettings.m_model.m_coldTime = aDraw.Between(Duration(2s), Duration(5s));
      break;
    case ScenarioKind::LittleTraffic:
      aSettings.m_callsPerSecond = aDraw.Between(0.1, 2.0);
      break;
    case ScenarioKind::PlatformOut:
      aSettings.m_platformOutage = { 5s, 170s };
      break;
    case ScenarioKind::DataCentrePartitioned: {
      const SessionTime begin = aDraw.Between(SessionTime(15s), 80s);
      const Duration length = aDraw.Between(Duration(20s), Duration(60s));
      aSettings.m_partition =
        SessionPartition{ aDraw.Below(aSettings.m_dataCentres),
                          { begin, begin + length } };
      break;
    }
    case ScenarioKind::CoordinatorPaused: {
      const SessionTime begin = aDraw.Between(SessionTime(5s), 90s);
      aSettings.m_coordinatorPause =
        SessionSpan{ begin, begin + aDraw.Between(Duration(5s), 100s) };
      break;
    }
    case ScenarioKind::TwoCoordinators:
      aSettings.m_hasTwoCoordinators = true;
      break;
    default:
      break;
  }
}

/// Disturbances that can be combined with others.
constexpr std::array<ScenarioKind, 6> kDisturbances{
  ScenarioKind::LoadPeak,          ScenarioKind::SharedFault,
  ScenarioKind::ColdStarts,        ScenarioKind::DataCentrePartitioned,
  ScenarioKind::CoordinatorPaused, ScenarioKind::TwoCoordinators,
};

/// Draws the parameters that depend on the deployment and not on the kind.
void
DrawDeployment(Draw& aDraw, SessionSettings& aSettings)
{
  ModelSettings& model = aSettings.m_model;
  aSettings.m_dataCentres = 1 + aDraw.Below(4);
  aSettings.m_nodes = 3 + aDraw.Below(3);
  aSettings.m_messageLoss = aDraw.Between(0.0, 0.2);
  model.m_targets = 2 + aDraw.Below(5);
  model.m_spread = aDraw.Between(0.2, 0.8);
  model.m_baseFailureRate = aDraw.Between(0.0, 0.01);
  model.m_baseCallerErrorRate = aDraw.Between(0.0, 0.1);
  const double capacity =
    static_cast<double>(model.m_targets * model.m_slots) /
    std::chrono::duration<double>(model.m_serviceTime).count();
  aSettings.m_callsPerSecond = capacity * aDraw.Between(0.3, 0.7);
}

} // namespace

std::array<ScenarioKind, kScenarioKinds>
AllScenarioKinds()
{
  return AllKinds<ScenarioKind, kScenarioKinds>();
}

std::string_view
Name(ScenarioKind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

bool
IsBad(ScenarioKind aKind)
{
  return aKind < ScenarioKind::Healthy;
}

SessionSettings
MakeScenario(ScenarioKind aKind, std::uint64_t aSeed)
{
  SeededRandom random(aSeed * kScenarioKinds +
                      static_cast<std::uint64_t>(aKind));
  Draw draw(random);
  SessionSettings settings;
  settings.m_seed = random.Next();
  DrawDeployment(draw, settings);
  switch (aKind) {
    case ScenarioKind::BadAndDisturbed:
      MakeBad(draw.Below(2) == 0 ? ScenarioKind::FailsLate : ScenarioKind::Slow,
              draw,
              settings);
      MakeGood(kDisturbances[draw.Below(kDisturbances.size())], draw, settings);
      break;
    case ScenarioKind::TwoDisturbances: {
      const std::size_t first = draw.Below(kDisturbances.size());
      const std::size_t step = 1 + draw.Below(kDisturbances.size() - 1);
      MakeGood(kDisturbances[first], draw, settings);
      MakeGood(
        kDisturbances[(first + step) % kDisturbances.size()], draw, settings);
      break;
    }
    default:
      if (IsBad(aKind)) {
        MakeBad(aKind, draw, settings);
      } else {
        MakeGood(aKind, draw, settings);
      }
      break;
  }
  return settings;
}

ScenarioOutcome
RunScenario(ScenarioKind aKind,
            std::uint64_t aSeed,
            const PolicyFactory& aPolicy)
{
  ScenarioOutcome outcome;
  outcome.m_kind = aKind;
  outcome.m_seed = aSeed;
  outcome.m_result = MoveSession(MakeScenario(aKind, aSeed), aPolicy).Run();
  const SessionResult& result = outcome.m_result;
  outcome.m_isTakenBack = result.m_state == MoveState::TakenBack;
  outcome.m_isDoneInTime =
    result.m_hasFullShareInTime && result.m_state == MoveState::Done;
  outcome.m_faultyFraction =
    static_cast<double>(result.m_faultyCalls) /
    static_cast<double>(std::max<std::size_t>(1, result.m_calls));
  if (outcome.m_isTakenBack && result.m_firstFaultyCall &&
      result.m_lastNewCall) {
    outcome.m_reaction = *result.m_lastNewCall - *result.m_firstFaultyCall;
  }
  return outcome;
}

} // namespace tarragontray::testing
