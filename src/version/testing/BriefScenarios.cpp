#include "version/testing/BriefScenarios.h"

#include <algorithm>

#include "version/testing/ScenarioDraw.h"

namespace tarragontray::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, kBriefKinds> kNames{
  "fails",
  "slow",
  "fails-under-load",
  "slow-under-load",
  "fails-one-route",
  "fails-late",
  "bad-shared-fault",
  "bad-in-load-peak",
  "bad-steward-cut",
  "healthy",
  "faulty-targets",
  "slow-targets",
  "shared-fault",
  "shared-slowness",
  "load-peak",
  "steward-cut",
};

/// A bad version may receive kMaxExposure of the calls and kExposureSlack more.
constexpr double kMaxExposure = 0.1;
constexpr double kExposureSlack = 50.0;
/// The failure rate of a version that fails under load, relative to that of
/// other bad versions.
constexpr double kUnderLoadFactor = 0.5;

ModelFault
Failing(Draw& aDraw)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_failureRate = aDraw.Between(0.15, 1.0);
  return fault;
}

ModelFault
Slow(Draw& aDraw)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_slowdown = aDraw.Between(5.0, 8.0);
  fault.m_slowdownRate = aDraw.Between(0.2, 1.0);
  return fault;
}

ModelFault
FailingOrSlow(Draw& aDraw)
{
  return aDraw.Below(2) == 0 ? Failing(aDraw) : Slow(aDraw);
}

ModelFault
MakeFault(BriefKind aKind, Draw& aDraw, const SessionSettings& aSettings)
{
  switch (aKind) {
    case BriefKind::Slow:
      return Slow(aDraw);
    case BriefKind::FailsUnderLoad:
    case BriefKind::SlowUnderLoad: {
      ModelFault fault =
        aKind == BriefKind::SlowUnderLoad ? Slow(aDraw) : Failing(aDraw);
      fault.m_failureRate *= kUnderLoadFactor;
      fault.m_aboveLoad = Load(aSettings) * aDraw.Between(0.2, 0.6);
      return fault;
    }
    case BriefKind::FailsOnOneRoute: {
      ModelFault fault = Failing(aDraw);
      fault.m_route = aDraw.Below(2);
      return fault;
    }
    case BriefKind::FailsLate: {
      ModelFault fault = Failing(aDraw);
      fault.m_begin = aSettings.m_start + aDraw.Between(2s, 6s);
      return fault;
    }
    case BriefKind::BadAndSharedFault:
    case BriefKind::BadInLoadPeak:
    case BriefKind::BadWhileCoordinatorCut:
      return FailingOrSlow(aDraw);
    default:
      return Failing(aDraw);
  }
}

/// A fault of both versions that begins during the move.
ModelFault
SharedFault(Draw& aDraw, const SessionSettings& aSettings)
{
  ModelFault fault;
  fault.m_begin = aDraw.Between(aSettings.m_start, aSettings.m_deadline - 6s);
  fault.m_end = fault.m_begin + aDraw.Between(3s, 7s);
  return fault;
}

void
AddFaultyTargets(const ModelFault& aFault,
                 Draw& aDraw,
                 SessionSettings& aSettings)
{
  ModelFault fault = aFault;
  fault.m_target = aDraw.Below(aSettings.m_model.m_targets);
  fault.m_begin = aDraw.Between(aSettings.m_start, aSettings.m_deadline - 6s);
  fault.m_end = fault.m_begin + 7s;
  // A faulty target of one version, or of each.
  if (aDraw.Below(2) == 0) {
    fault.m_side = VersionSide::New;
  }
  aSettings.m_model.m_faults.push_back(fault);
}

void
AddPeak(Draw& aDraw, SessionSettings& aSettings)
{
  aSettings.m_peakFactor = aDraw.Between(1.3, 1.8);
  aSettings.m_peak.m_begin =
    aDraw.Between(aSettings.m_start, aSettings.m_deadline - 4s);
  aSettings.m_peak.m_end = aSettings.m_peak.m_begin + aDraw.Between(2s, 4s);
}

/// Cuts the coordinator and two other nodes off from the rest.
void
AddCut(Draw& aDraw, SessionSettings& aSettings)
{
  SessionCut cut;
  cut.m_span.m_begin =
    aDraw.Between(aSettings.m_start, aSettings.m_deadline - 8s);
  cut.m_span.m_end = cut.m_span.m_begin + aDraw.Between(4s, 7s);
  cut.m_others = 2;
  aSettings.m_cut = cut;
}

void
AddDisturbance(BriefKind aKind, Draw& aDraw, SessionSettings& aSettings)
{
  ModelFault fault = SharedFault(aDraw, aSettings);
  switch (aKind) {
    case BriefKind::FaultyTargets:
      fault.m_failureRate = 0.45;
      AddFaultyTargets(fault, aDraw, aSettings);
      return;
    case BriefKind::SlowTargets:
      fault.m_slowdown = 5.0;
      AddFaultyTargets(fault, aDraw, aSettings);
      return;
    case BriefKind::SharedFault:
    case BriefKind::BadAndSharedFault:
      fault.m_failureRate = aDraw.Between(0.05, 0.3);
      break;
    case BriefKind::SharedSlowness:
      fault.m_slowdown = aDraw.Between(2.0, 5.0);
      fault.m_slowdownRate = aDraw.Between(0.2, 0.7);
      break;
    case BriefKind::CoordinatorCut:
    case BriefKind::BadWhileCoordinatorCut:
      AddCut(aDraw, aSettings);
      return;
    case BriefKind::LoadPeak:
    case BriefKind::BadInLoadPeak:
      AddPeak(aDraw, aSettings);
      return;
    default:
      return;
  }
  aSettings.m_model.m_faults.push_back(fault);
}

SessionSettings
MakeDeployment(Draw& aDraw)
{
  SessionSettings settings;
  settings.m_dataCentres = 1;
  settings.m_nodes = 12;
  settings.m_callsPerSecond = aDraw.Between(140.0, 260.0);
  settings.m_routes = { 0.74, 0.26 };
  settings.m_start = 8s;
  settings.m_deadline = settings.m_start + aDraw.Between(12s, 18s);
  settings.m_hold = (settings.m_deadline - settings.m_start) / 8;
  settings.m_end = settings.m_deadline + 2s;
  settings.m_messageJitter = 20ms;
  settings.m_step = 25ms;
  settings.m_evidenceInterval = 100ms;
  settings.m_callTimeout = 1500ms;
  ModelSettings& model = settings.m_model;
  model.m_targets = 7;
  model.m_slots = 9;
  model.m_serviceTime = 160ms;
  model.m_spread = aDraw.Between(0.3, 0.8);
  model.m_baseFailureRate = aDraw.Between(0.0, 0.02);
  model.m_baseCallerErrorRate = 0.0;
  model.m_loadTime = 400ms;
  model.m_targetSlowdowns = { 0.7, 0.7, 1.6 };
  return settings;
}

} // namespace

std::array<BriefKind, kBriefKinds>
AllBriefKinds()
{
  return AllKinds<BriefKind, kBriefKinds>();
}

std::string_view
Name(BriefKind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

bool
IsBad(BriefKind aKind)
{
  return aKind < BriefKind::Healthy;
}

SessionSettings
MakeBriefScenario(BriefKind aKind, std::uint64_t aSeed)
{
  SeededRandom random(aSeed * kBriefKinds + static_cast<std::uint64_t>(aKind));
  Draw draw(random);
  SessionSettings settings = MakeDeployment(draw);
  settings.m_seed = random.Next();
  if (IsBad(aKind)) {
    settings.m_model.m_faults.push_back(MakeFault(aKind, draw, settings));
  }
  AddDisturbance(aKind, draw, settings);
  return settings;
}

BriefOutcome
RunBriefScenario(BriefKind aKind,
                 std::uint64_t aSeed,
                 const PolicyFactory& aPolicy)
{
  BriefOutcome outcome;
  outcome.m_result =
    MoveSession(MakeBriefScenario(aKind, aSeed), aPolicy).Run();
  const SessionResult& result = outcome.m_result;
  outcome.m_isTakenBack = result.m_state == MoveState::TakenBack;
  outcome.m_isDone = result.m_state == MoveState::Done;
  const auto planned = static_cast<double>(result.m_plannedCalls);
  const auto exposed = static_cast<double>(result.m_newCalls);
  outcome.m_exposure = exposed / std::max(1.0, planned);
  outcome.m_isOverexposed = exposed > kMaxExposure * planned + kExposureSlack;
  return outcome;
}

} // namespace tarragontray::testing
