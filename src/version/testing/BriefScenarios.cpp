#include "version/testing/BriefScenarios.h"

#include <algorithm>

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

double
Between(Random& aRandom, double aLow, double aHigh)
{
  return aLow + (aHigh - aLow) * aRandom.Fraction();
}

SessionTime
Between(Random& aRandom, SessionTime aLow, SessionTime aHigh)
{
  return aLow + std::chrono::duration_cast<SessionTime>((aHigh - aLow) *
                                                        aRandom.Fraction());
}

ModelFault
Failing(Random& aRandom)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_failureRate = Between(aRandom, 0.15, 1.0);
  return fault;
}

ModelFault
Slow(Random& aRandom)
{
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_slowdown = Between(aRandom, 5.0, 8.0);
  fault.m_slowdownRate = Between(aRandom, 0.2, 1.0);
  return fault;
}

ModelFault
FailingOrSlow(Random& aRandom)
{
  return aRandom.Below(2) == 0 ? Failing(aRandom) : Slow(aRandom);
}

/// The fraction of one version's slots that all calls together occupy.
double
Load(const SessionSettings& aSettings)
{
  const ModelSettings& model = aSettings.m_model;
  return aSettings.m_callsPerSecond *
         std::chrono::duration<double>(model.m_serviceTime).count() /
         static_cast<double>(model.m_targets * model.m_slots);
}

ModelFault
MakeFault(BriefKind aKind, Random& aRandom, const SessionSettings& aSettings)
{
  switch (aKind) {
    case BriefKind::Slow:
      return Slow(aRandom);
    case BriefKind::FailsUnderLoad:
    case BriefKind::SlowUnderLoad: {
      ModelFault fault =
        aKind == BriefKind::SlowUnderLoad ? Slow(aRandom) : Failing(aRandom);
      fault.m_failureRate *= kUnderLoadFactor;
      fault.m_aboveLoad = Load(aSettings) * Between(aRandom, 0.2, 0.6);
      return fault;
    }
    case BriefKind::FailsOnOneRoute: {
      ModelFault fault = Failing(aRandom);
      fault.m_route = aRandom.Below(2);
      return fault;
    }
    case BriefKind::FailsLate: {
      ModelFault fault = Failing(aRandom);
      fault.m_begin = aSettings.m_start + Between(aRandom, 2s, 6s);
      return fault;
    }
    case BriefKind::BadAndSharedFault:
    case BriefKind::BadInLoadPeak:
    case BriefKind::BadWhileCoordinatorCut:
      return FailingOrSlow(aRandom);
    default:
      return Failing(aRandom);
  }
}

/// A fault of both versions that begins during the move.
ModelFault
SharedFault(Random& aRandom, const SessionSettings& aSettings)
{
  ModelFault fault;
  fault.m_begin =
    Between(aRandom, aSettings.m_start, aSettings.m_deadline - 6s);
  fault.m_end = fault.m_begin + Between(aRandom, 3s, 7s);
  return fault;
}

void
AddFaultyTargets(const ModelFault& aFault,
                 Random& aRandom,
                 SessionSettings& aSettings)
{
  ModelFault fault = aFault;
  fault.m_target = aRandom.Below(aSettings.m_model.m_targets);
  fault.m_begin =
    Between(aRandom, aSettings.m_start, aSettings.m_deadline - 6s);
  fault.m_end = fault.m_begin + 7s;
  // A faulty target of one version, or of each.
  if (aRandom.Below(2) == 0) {
    fault.m_side = VersionSide::New;
  }
  aSettings.m_model.m_faults.push_back(fault);
}

void
AddPeak(Random& aRandom, SessionSettings& aSettings)
{
  aSettings.m_peakFactor = Between(aRandom, 1.3, 1.8);
  aSettings.m_peak.m_begin =
    Between(aRandom, aSettings.m_start, aSettings.m_deadline - 4s);
  aSettings.m_peak.m_end = aSettings.m_peak.m_begin + Between(aRandom, 2s, 4s);
}

/// Cuts the coordinator and two other nodes off from the rest.
void
AddCut(Random& aRandom, SessionSettings& aSettings)
{
  SessionCut cut;
  cut.m_span.m_begin =
    Between(aRandom, aSettings.m_start, aSettings.m_deadline - 8s);
  cut.m_span.m_end = cut.m_span.m_begin + Between(aRandom, 4s, 7s);
  cut.m_others = 2;
  aSettings.m_cut = cut;
}

void
AddDisturbance(BriefKind aKind, Random& aRandom, SessionSettings& aSettings)
{
  ModelFault fault = SharedFault(aRandom, aSettings);
  switch (aKind) {
    case BriefKind::FaultyTargets:
      fault.m_failureRate = 0.45;
      AddFaultyTargets(fault, aRandom, aSettings);
      return;
    case BriefKind::SlowTargets:
      fault.m_slowdown = 5.0;
      AddFaultyTargets(fault, aRandom, aSettings);
      return;
    case BriefKind::SharedFault:
    case BriefKind::BadAndSharedFault:
      fault.m_failureRate = Between(aRandom, 0.05, 0.3);
      break;
    case BriefKind::SharedSlowness:
      fault.m_slowdown = Between(aRandom, 2.0, 5.0);
      fault.m_slowdownRate = Between(aRandom, 0.2, 0.7);
      break;
    case BriefKind::CoordinatorCut:
    case BriefKind::BadWhileCoordinatorCut:
      AddCut(aRandom, aSettings);
      return;
    case BriefKind::LoadPeak:
    case BriefKind::BadInLoadPeak:
      AddPeak(aRandom, aSettings);
      return;
    default:
      return;
  }
  aSettings.m_model.m_faults.push_back(fault);
}

SessionSettings
MakeDeployment(Random& aRandom)
{
  SessionSettings settings;
  settings.m_dataCentres = 1;
  settings.m_nodes = 12;
  settings.m_callsPerSecond = Between(aRandom, 140.0, 260.0);
  settings.m_routes = { 0.74, 0.26 };
  settings.m_start = 8s;
  settings.m_deadline = settings.m_start + Between(aRandom, 12s, 18s);
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
  model.m_spread = Between(aRandom, 0.3, 0.8);
  model.m_baseFailureRate = Between(aRandom, 0.0, 0.02);
  model.m_baseCallerErrorRate = 0.0;
  model.m_loadTime = 400ms;
  model.m_targetSlowdowns = { 0.7, 0.7, 1.6 };
  return settings;
}

} // namespace

std::array<BriefKind, kBriefKinds>
AllBriefKinds()
{
  std::array<BriefKind, kBriefKinds> all{};
  for (std::size_t i = 0; i < kBriefKinds; ++i) {
    all[i] = static_cast<BriefKind>(i);
  }
  return all;
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
  SessionSettings settings = MakeDeployment(random);
  settings.m_seed = random.Next();
  if (IsBad(aKind)) {
    settings.m_model.m_faults.push_back(MakeFault(aKind, random, settings));
  }
  AddDisturbance(aKind, random, settings);
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
