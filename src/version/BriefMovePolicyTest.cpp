#include "version/BriefMovePolicy.h"

#include <criterion/criterion.h>

#include "version/MoveCoordinator.h"
#include "version/Moves.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

constexpr WallTime kWall{ std::chrono::hours(24 * 365 * 50) };
constexpr Duration kWindow = 200ms;
const RouteName kRoute("seat-map");

MovePlan
PlanOf(Duration aLength)
{
  MovePlan plan;
  plan.m_start = kWall;
  plan.m_deadline = kWall + aLength;
  return plan;
}

std::unique_ptr<MovePolicy>
MakePolicy()
{
  return BriefMovePolicy::Create({}).value();
}

/// One target's calls within a window; all take aLatency.
WindowEntry
Entry(VersionSide aSide,
      const char* aTarget,
      std::uint64_t aCalls,
      std::uint64_t aFailures,
      Duration aLatency = 100ms)
{
  WindowEntry entry;
  entry.m_route = kRoute;
  entry.m_side = aSide;
  entry.m_target = VmId(aTarget);
  entry.m_counters.m_calls = aCalls;
  entry.m_counters.m_failures = aFailures;
  entry.m_counters.m_latency[LatencyBucket(aLatency)] =
    static_cast<std::uint32_t>(aCalls);
  return entry;
}

EvidenceWindow
Window(std::vector<WindowEntry> aEntries)
{
  EvidenceWindow window;
  window.m_length = kWindow;
  window.m_entries = std::move(aEntries);
  return window;
}

EvidenceWindow
OldOnly(std::uint64_t aCalls = 40)
{
  return Window({ Entry(VersionSide::Old, "o-1", aCalls, 0) });
}

} // namespace

Test(BriefMovePolicy, ReachesFullShareInTimeWithFewCallsBefore)
{
  const auto policy = MakePolicy();
  for (const Duration length :
       { Duration(12s), Duration(16s), Duration(5min) }) {
    const MovePlan plan = PlanOf(length);
    const Duration step = length / 400;
    Share share = Share::None();
    Duration changed{ 0 };
    double calls = 0;
    Duration elapsed{ 0 };
    bool hasPassedTrial = false;
    for (; share != Share::All(); elapsed += step) {
      cr_assert(elapsed < length * 8 / 10);
      const PaceInput pace{ plan,           kWall + elapsed,
                            share,          elapsed - changed,
                            hasPassedTrial, {} };
      const Share afterTrial = policy->ShareAfterTrial(pace);
      cr_assert(afterTrial <= share);
      // At most one trial.
      cr_assert(!hasPassedTrial || afterTrial == share);
      const Share next =
        afterTrial < share ? afterTrial : policy->NextShare(pace);
      cr_assert(next == afterTrial || next >= share);
      changed = next == share ? changed : elapsed;
      hasPassedTrial |= next < share;
      share = next;
      calls += share == Share::All() ? 0 : share.Fraction() / 400;
    }
    // A bad version may receive a tenth of the calls. The remainder is needed
    // for the calls at the full share until it is detected.
    cr_assert_lt(calls, 0.065);
  }
}

Test(BriefMovePolicy, AdvancesOneStageAtATimeWhenLate)
{
  const auto policy = MakePolicy();
  const MovePlan plan = PlanOf(14s);
  const Share first =
    policy->NextShare({ plan, kWall + 13s, Share::None(), 13s });
  cr_assert(first < Share::FromFraction(0.05));
  cr_assert(policy->NextShare({ plan, kWall + 13s, first, 100ms }) == first);
  cr_assert(policy->NextShare({ plan, kWall + 13s, first, 600ms }) > first);
}

Test(BriefMovePolicy, DetectsFailureAtFullShareWithinTwoWindows)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  for (int i = 0; i < 30; ++i) {
    cr_assert(judge->Judge(OldOnly()).m_kind == VerdictKind::Clear);
  }
  int windows = 0;
  Verdict verdict;
  while (verdict.m_kind != VerdictKind::Bad) {
    ++windows;
    cr_assert_leq(windows, 2);
    verdict = judge->Judge(Window({ Entry(VersionSide::New, "n-1", 20, 10),
                                    Entry(VersionSide::New, "n-2", 20, 10) }));
  }
  cr_assert(verdict.m_route == kRoute);
}

Test(BriefMovePolicy, DetectsFailureAtSmallShareFromFewCalls)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  judge->Judge(OldOnly());
  Verdict verdict;
  int calls = 0;
  while (verdict.m_kind != VerdictKind::Bad) {
    calls += 4;
    cr_assert_leq(calls, 24);
    verdict = judge->Judge(Window({ Entry(VersionSide::Old, "o-1", 40, 0),
                                    Entry(VersionSide::New, "n-1", 2, 1),
                                    Entry(VersionSide::New, "n-2", 2, 1) }));
  }
}

Test(BriefMovePolicy, DetectsSlowCalls)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  judge->Judge(OldOnly());
  const Verdict verdict =
    judge->Judge(Window({ Entry(VersionSide::New, "n-1", 6, 0, 900ms),
                          Entry(VersionSide::New, "n-2", 6, 0, 900ms) }));
  cr_assert(verdict.m_kind == VerdictKind::Bad);
}

Test(BriefMovePolicy, IgnoresASingleFaultyTarget)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  for (int i = 0; i < 50; ++i) {
    const Verdict verdict =
      judge->Judge(Window({ Entry(VersionSide::Old, "o-1", 10, 0),
                            Entry(VersionSide::New, "n-1", 5, 5),
                            Entry(VersionSide::New, "n-2", 5, 0) }));
    cr_assert(verdict.m_kind == VerdictKind::Clear);
  }
}

Test(BriefMovePolicy, IgnoresFailuresOfBothVersions)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  for (int i = 0; i < 50; ++i) {
    const Verdict verdict =
      judge->Judge(Window({ Entry(VersionSide::Old, "o-1", 10, 4),
                            Entry(VersionSide::New, "n-1", 5, 2),
                            Entry(VersionSide::New, "n-2", 5, 2) }));
    cr_assert(verdict.m_kind == VerdictKind::Clear);
  }
}

Test(BriefMovePolicy, RejectsInvalidSettings)
{
  BriefMoveSettings settings;
  settings.m_lookback = Duration(0);
  cr_assert(!BriefMovePolicy::Create(settings).has_value());
}

/// A coordinator whose data centre is cut off from the others leaves a share
/// that it lowered for evidence that its successor does not have.
Test(BriefMovePolicy, ASuccessorTakesASuspectVersionForOneThatPassedItsTrial)
{
  const auto policy = BriefMovePolicy::Create({}).value();
  const DataCentreId dataCentre("dc");
  const WallTime start{ std::chrono::hours(1) };
  MovePlan plan;
  plan.m_start = start;
  plan.m_deadline = start + std::chrono::seconds(16);
  MoveCoordinator successor(plan, dataCentre, *policy, std::chrono::seconds(1));
  MoveProgress progress;
  DataCentreProgress& own = progress.m_dataCentres[dataCentre];
  own.m_epoch = ProgressEpoch(1);
  own.m_share = Share::FromFraction(0.07);
  bool hasTried = false;
  for (Duration elapsed = std::chrono::milliseconds(8'000);
       elapsed < std::chrono::seconds(16);
       elapsed += std::chrono::milliseconds(100)) {
    const Times times{ MonotonicTime(std::chrono::hours(1) + elapsed),
                       start + elapsed };
    successor.Advance({}, 0, { own.m_share, {} }, times, progress);
    hasTried |=
      own.m_share < Share::All() && own.m_share > Share::FromFraction(0.5);
    cr_assert(own.m_share < Share::All() || hasTried);
  }
  cr_assert(own.m_share == Share::All());
}

/// The predecessor began the trial and is cut off; its successor ends it
/// without the evidence from before.
Test(BriefMovePolicy,
     ASuccessorTakesTheEndOfATrialThatItDidNotBeginForAPassedOne)
{
  const auto policy = BriefMovePolicy::Create({}).value();
  const DataCentreId dataCentre("dc");
  const WallTime start{ std::chrono::hours(1) };
  MovePlan plan;
  plan.m_start = start;
  plan.m_deadline = start + std::chrono::seconds(16);
  MoveCoordinator successor(plan, dataCentre, *policy, std::chrono::seconds(1));
  MoveProgress progress;
  DataCentreProgress& own = progress.m_dataCentres[dataCentre];
  own.m_share = Share::FromFraction(0.9);
  std::size_t trials = 0;
  Share before = own.m_share;
  for (Duration elapsed = std::chrono::milliseconds(7'000);
       elapsed < std::chrono::seconds(16);
       elapsed += std::chrono::milliseconds(100)) {
    const Times times{ MonotonicTime(std::chrono::hours(1) + elapsed),
                       start + elapsed };
    successor.Advance({}, 0, { own.m_share, {} }, times, progress);
    trials += own.m_share > before && own.m_share < Share::All() ? 1 : 0;
    before = own.m_share;
    cr_assert(own.m_share < Share::All() || trials > 0);
  }
  cr_assert(own.m_share == Share::All());
}

/// Nobody who sees the evidence can take the share back on this node.
Test(BriefMovePolicy, TheShareOfATrialStaysInForceWithoutItsCoordinator)
{
  MovesSettings settings;
  settings.m_vm = VmId("n-1");
  settings.m_dataCentre = DataCentreId("dc");
  settings.m_windowInterval = std::chrono::milliseconds(100);
  Moves moves =
    Moves::Create(settings, BriefMovePolicy::Create({}).value()).value();
  const MonotonicTime now{ std::chrono::hours(1) };
  const WallTime wall{ std::chrono::hours(1) };
  MovePlan plan;
  plan.m_id = { { ClientAccountId("a"), ServiceName("s") }, PlanNumber(1) };
  plan.m_to = UpstreamVersion("v2");
  plan.m_start = wall;
  plan.m_deadline = wall + std::chrono::seconds(16);
  moves.SetPlans({ plan }, now);
  MoveProgress progress;
  progress.m_move = plan.m_id;
  DataCentreProgress& own = progress.m_dataCentres[settings.m_dataCentre];
  const auto appliedAt = [&](Duration aElapsed) {
    moves.Tick(now + aElapsed, wall + aElapsed);
    return moves.SplitOf(plan.m_id.m_service)->m_toShare;
  };
  own.m_share = Share::FromFraction(0.9);
  moves.MergeProgress(progress, now);
  cr_assert(appliedAt(std::chrono::milliseconds(100)) == own.m_share);
  cr_assert(appliedAt(std::chrono::milliseconds(900)) == own.m_share);
  cr_assert(appliedAt(std::chrono::milliseconds(1'600)) <=
            Share::FromFraction(0.07));
  // The full share does not expire.
  own.m_share = Share::All();
  moves.MergeProgress(progress, now + std::chrono::seconds(2));
  for (int elapsed = 2; elapsed < 10; ++elapsed) {
    cr_assert(appliedAt(std::chrono::seconds(elapsed)) == Share::All());
  }
}

/// Guards against a version that passes a trial whose evidence never came: a
/// coordinator was cut off in the trial, and raised the share to all when the
/// cut had ended.
Test(BriefMovePolicy, ATrialWithoutReportsFromAMajorityIsNotPassed)
{
  const auto policy = MakePolicy();
  const DataCentreId dataCentre("dc");
  const MovePlan plan = PlanOf(16s);
  MoveCoordinator coordinator(plan, dataCentre, *policy, 1s);
  MoveProgress progress;
  DataCentreProgress& own = progress.m_dataCentres[dataCentre];
  std::size_t trials = 0;
  Share before = Share::None();
  for (Duration elapsed = 0s; elapsed < 16s; elapsed += 100ms) {
    const Times times{ MonotonicTime(1h + elapsed), kWall + elapsed };
    // The cut begins in the trial.
    const bool isCut = trials == 1 && elapsed < 11s;
    const int reporters = isCut ? 1 : 3;
    for (int i = 0; i < reporters; ++i) {
      EvidenceReport report;
      report.m_reporter = VmId("n-" + std::to_string(i));
      coordinator.AddReport(report, times.m_now);
    }
    coordinator.Advance({}, 3, { own.m_share, {} }, times, progress);
    trials += own.m_share > before && own.m_share < Share::All() &&
                  own.m_share > Share::FromFraction(0.5)
                ? 1
                : 0;
    before = own.m_share;
    cr_assert(own.m_share < Share::All() || trials > 1);
  }
  cr_assert(own.m_share == Share::All());
}

/// Guards against trials that together give a bad version more calls than it
/// may receive.
Test(BriefMovePolicy, NoTrialBeginsBeyondTheExposureBudget)
{
  const auto policy = MakePolicy();
  const MovePlan plan = PlanOf(16s);
  PaceInput pace;
  pace.m_plan = plan;
  pace.m_wall = kWall + 9s;
  pace.m_share = policy->ComparisonShare(Share::All());
  pace.m_sinceChange = 3s;
  pace.m_lowerings = ProgressEpoch(1);
  pace.m_spent = 900ms;
  cr_assert(policy->NextShare(pace) > Share::FromFraction(0.5));
  pace.m_spent = 1'500ms;
  cr_assert(policy->NextShare(pace) == pace.m_share);
  // What can't be cleared any more is rolled back before the deadline.
  cr_assert(!policy->MustGiveUp(pace));
  pace.m_wall = kWall + 15s;
  cr_assert(policy->MustGiveUp(pace));
  pace.m_hasPassedTrial = true;
  cr_assert(!policy->MustGiveUp(pace));
}

/// Guards against a fault of all routes that is too small on each of them to be
/// found in time.
Test(BriefMovePolicy, FailuresOnSeveralRoutesAreAddedUp)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  const auto window = [](std::uint64_t aNewFailures) {
    EvidenceWindow result;
    result.m_length = 100ms;
    for (const char* route : { "a", "b", "c", "d" }) {
      for (const char* target : { "n-1", "n-2", "n-3" }) {
        WindowEntry entry = Entry(VersionSide::New, target, 10, aNewFailures);
        entry.m_route = RouteName(route);
        result.m_entries.push_back(entry);
      }
      WindowEntry old = Entry(VersionSide::Old, "o-1", 60, 0);
      old.m_route = RouteName(route);
      result.m_entries.push_back(old);
    }
    return result;
  };
  cr_assert(judge->Judge(window(0)).m_kind == VerdictKind::Clear);
  cr_assert(judge->Judge(window(1)).m_kind == VerdictKind::Suspect);
}

/// Guards against the rollback of a good version beside a disturbance that
/// begins when its share becomes large: the calls to the old version are from
/// before it.
Test(BriefMovePolicy, FailuresOfAllRoutesAtALargeShareAreNoVerdict)
{
  const auto judge = MakePolicy()->MakeJudge(EvidenceScope::DataCentre);
  const char* const routes[] = { "a", "b", "c", "d", "e", "f" };
  EvidenceWindow before;
  before.m_length = 100ms;
  before.m_share = Share::FromFraction(0.07);
  EvidenceWindow after = before;
  after.m_share = Share::All();
  for (const char* route : routes) {
    WindowEntry old = Entry(VersionSide::Old, "o-1", 60, 0);
    old.m_route = RouteName(route);
    before.m_entries.push_back(old);
    for (const char* target : { "n-1", "n-2", "n-3" }) {
      WindowEntry entry = Entry(VersionSide::New, target, 10, 1);
      entry.m_route = RouteName(route);
      after.m_entries.push_back(entry);
    }
  }
  cr_assert(judge->Judge(before).m_kind == VerdictKind::Clear);
  cr_assert(judge->Judge(after).m_kind == VerdictKind::NeedsComparison);
}

} // namespace tarragontray
