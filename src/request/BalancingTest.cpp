#include <map>
#include <set>

#include <criterion/criterion.h>

#include "request/RetryBudget.h"
#include "request/Subset.h"
#include "request/TwoChoicesBalancing.h"
#include "request/VersionSplitter.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;

const DataCentreId kOwn("dc1");
constexpr MonotonicTime kNow{ std::chrono::hours(1) };

std::vector<Target>
MakeTargets(std::size_t aCount, std::size_t aInOwnDataCentre)
{
  std::vector<Target> targets;
  for (std::size_t i = 0; i < aCount; ++i) {
    Target target;
    target.m_vm = VmId("vm-" + std::to_string(i));
    target.m_dataCentre = i < aInOwnDataCentre ? kOwn : DataCentreId("dc2");
    target.m_region = RegionId("r1");
    target.m_version = UpstreamVersion("v1");
    target.m_slots = SlotCount(10);
    targets.push_back(target);
  }
  return targets;
}

std::vector<const Target*>
Pointers(const std::vector<Target>& aTargets)
{
  std::vector<const Target*> pointers;
  for (const Target& target : aTargets) {
    pointers.push_back(&target);
  }
  return pointers;
}

TwoChoicesBalancing
MakePolicy()
{
  TwoChoicesSettings settings;
  settings.m_region = RegionId("r1");
  return TwoChoicesBalancing(settings);
}

/// Starts calls that never finish, and counts them by target.
std::vector<int>
Spread(TwoChoicesBalancing& aPolicy,
       const std::vector<Target>& aTargets,
       int aCalls)
{
  SeededRandom random(1);
  std::vector<int> counts(aTargets.size());
  const std::vector<const Target*> candidates = Pointers(aTargets);
  for (int i = 0; i < aCalls; ++i) {
    const std::size_t index =
      aPolicy.Choose(candidates, 0, kOwn, ChoiceConstraints{}, kNow, random)
        .value();
    aPolicy.Started(aTargets[index].m_vm, kNow);
    ++counts[index];
  }
  return counts;
}

} // namespace

Test(TwoChoices, OwnDataCentreFirstAndSpillsWhenItIsFull)
{
  const std::vector<Target> targets = MakeTargets(4, 2);
  TwoChoicesBalancing policy = MakePolicy();
  const std::vector<int> first = Spread(policy, targets, 20);
  cr_assert(first[0] + first[1] == 20);
  cr_assert(first[0] == 10 && first[1] == 10);
  const std::vector<int> more = Spread(policy, targets, 20);
  cr_assert(more[2] + more[3] >= 18);
}

Test(TwoChoices, StartingTargetGetsLittle)
{
  std::vector<Target> targets = MakeTargets(4, 4);
  targets[0].m_state = UpstreamState::Starting;
  TwoChoicesBalancing policy = MakePolicy();
  const std::vector<int> counts = Spread(policy, targets, 36);
  cr_assert(counts[0] >= 1 && counts[0] <= 3,
            "starting target got %d of 36 calls",
            counts[0]);
}

Test(TwoChoices, EjectsAFailingTargetForABoundedTimeAndNeverMoreThanHalf)
{
  const std::vector<Target> targets = MakeTargets(4, 4);
  TwoChoicesBalancing policy = MakePolicy();
  const auto fail = [&](std::size_t aIndex) {
    for (int i = 0; i < 5; ++i) {
      policy.Started(targets[aIndex].m_vm, kNow);
      policy.Finished(targets[aIndex].m_vm, { .m_failed = true }, kNow);
    }
  };
  fail(0);
  cr_assert(policy.IsEjected(targets[0].m_vm, kNow));
  cr_assert(Spread(policy, targets, 20)[0] == 0);
  cr_assert(!policy.IsEjected(targets[0].m_vm, kNow + std::chrono::minutes(1)));
  fail(1);
  fail(2);
  TwoChoicesBalancing fresh = MakePolicy();
  const std::vector<int> counts = Spread(policy, targets, 40);
  cr_assert(counts[0] > 0 && counts[1] > 0 && counts[2] > 0);
}

/// Guards against treating quick refusals as low latency: the first target
/// refuses every call at once and reports no load.
Test(TwoChoices, QuickRefusalsDoNotAttractCalls)
{
  const std::vector<Target> targets = MakeTargets(2, 2);
  TwoChoicesBalancing policy = MakePolicy();
  for (int i = 0; i < 50; ++i) {
    policy.Started(targets[0].m_vm, kNow);
    policy.Finished(targets[0].m_vm,
                    { .m_isRefused = true,
                      .m_latency = std::chrono::microseconds(50),
                      .m_load = LoadReport{ 0, 0, SlotCount(10) } },
                    kNow);
    policy.Started(targets[1].m_vm, kNow);
    policy.Finished(targets[1].m_vm,
                    { .m_latency = milliseconds(20),
                      .m_load = LoadReport{ 1, 0, SlotCount(10) } },
                    kNow);
  }
  const std::vector<int> counts = Spread(policy, targets, 8);
  cr_assert(counts[0] <= 1, "refusing target got %d of 8 calls", counts[0]);
}

Test(TwoChoices, TargetThatReportsFewerSlotsGetsAFullShare)
{
  const std::vector<Target> targets = MakeTargets(2, 2);
  TwoChoicesBalancing policy = MakePolicy();
  for (const std::uint32_t slots : { 1U, 4U }) {
    const Target& target = targets[slots == 1U ? 0 : 1];
    policy.Started(target.m_vm, kNow);
    policy.Finished(target.m_vm,
                    { .m_latency = milliseconds(20),
                      .m_load = LoadReport{ 0, 0, SlotCount(slots) } },
                    kNow);
  }
  const std::vector<int> counts = Spread(policy, targets, 8);
  cr_assert(counts[0] <= 2, "limited target got %d of 8 calls", counts[0]);
}

namespace {

/// Ends one call at the target with this load report.
void
ReportLoad(TwoChoicesBalancing& aPolicy,
           const Target& aTarget,
           std::uint32_t aCalls,
           PacePercent aPace,
           MonotonicTime aNow,
           Duration aServiceTime = milliseconds(100))
{
  aPolicy.Started(aTarget.m_vm, aNow);
  aPolicy.Finished(aTarget.m_vm,
                   { .m_latency = aServiceTime,
                     .m_serviceTime = aServiceTime,
                     .m_load = LoadReport{ aCalls, 0, SlotCount(10), aPace } },
                   aNow);
}

/// How many of 200 calls the targets get when none of them adds load.
std::vector<int>
Shares(TwoChoicesBalancing& aPolicy,
       const std::vector<Target>& aTargets,
       const ChoiceConstraints& aConstraints,
       MonotonicTime aNow)
{
  SeededRandom random(1);
  std::vector<int> counts(aTargets.size());
  const std::vector<const Target*> candidates = Pointers(aTargets);
  for (int i = 0; i < 200; ++i) {
    ++counts[aPolicy.Choose(candidates, 0, kOwn, aConstraints, aNow, random)
               .value()];
  }
  return counts;
}

} // namespace

/// Load: upstreams that share their VMs, one of which is at 250 % of its usual
/// time. Guards against sending it calls that others finish sooner, and against
/// using the figure after it has changed.
Test(TwoChoices, SlowPaceCostsCallsOnlyWhileItIsRecent)
{
  const std::vector<Target> targets = MakeTargets(3, 3);
  TwoChoicesBalancing policy = MakePolicy();
  const ChoiceConstraints constraints{ .m_timeToObjective = milliseconds(600) };
  ReportLoad(policy, targets[0], 2, PacePercent(250), kNow, milliseconds(250));
  ReportLoad(policy, targets[1], 2, kUsualPace, kNow);
  ReportLoad(policy, targets[2], 2, kUsualPace, kNow);
  const std::vector<int> at = Shares(policy, targets, constraints, kNow);
  cr_assert(at[0] == 0, "slow target got %d of 200 calls", at[0]);
  const MonotonicTime later = kNow + std::chrono::seconds(2);
  ReportLoad(policy, targets[1], 4, kUsualPace, later);
  ReportLoad(policy, targets[2], 4, kUsualPace, later);
  const std::vector<int> after = Shares(policy, targets, constraints, later);
  cr_assert(after[0] >= 50, "after its slow phase it got %d", after[0]);
}

/// Load: a data centre at its peak of demand, seen by an entry node that hears
/// from each upstream once in some seconds. Guards against taking full
/// upstreams for idle ones once their reports are old.
Test(TwoChoices, FullDataCentreIsNotTakenForIdleWhenReportsAreOld)
{
  const std::vector<Target> targets = MakeTargets(8, 5);
  TwoChoicesBalancing policy = MakePolicy();
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const bool isOwn = targets[i].m_dataCentre == kOwn;
    ReportLoad(policy,
               targets[i],
               isOwn ? 50 : 3,
               i == 7 ? PacePercent(110) : kUsualPace,
               kNow + i * milliseconds(200));
  }
  const MonotonicTime now = kNow + milliseconds(2400);
  const std::vector<int> counts =
    Shares(policy, targets, { .m_timeToObjective = milliseconds(600) }, now);
  cr_assert(counts[5] + counts[6] + counts[7] == 200,
            "neighbours got %d",
            counts[5] + counts[6] + counts[7]);
}

/// Load: uploads of 360 KB over links of 10 Mbit/s, 576 ms there and back of an
/// objective of 800 ms. Guards against sending them over the network while the
/// entry node's own upstream is nearly as free, and against queueing there
/// when it is full.
Test(TwoChoices, LargeBodiesStayOnTheOwnVmUnlessItIsFull)
{
  const std::vector<Target> targets = MakeTargets(4, 4);
  TwoChoicesSettings settings;
  settings.m_vm = targets[1].m_vm;
  settings.m_region = RegionId("r1");
  TwoChoicesBalancing policy(settings);
  const ChoiceConstraints upload{ .m_timeToObjective = milliseconds(800),
                                  .m_bodyBytes = ByteCount(360'000) };
  const auto report = [&](std::uint32_t aOwnCalls) {
    for (std::size_t i = 0; i < targets.size(); ++i) {
      ReportLoad(policy, targets[i], i == 1 ? aOwnCalls : 2, kUsualPace, kNow);
    }
  };
  report(8);
  cr_assert(Shares(policy, targets, upload, kNow)[1] == 200);
  const ChoiceConstraints small{ .m_timeToObjective = milliseconds(800) };
  cr_assert(Shares(policy, targets, small, kNow)[1] == 0);
  report(90);
  cr_assert(Shares(policy, targets, upload, kNow)[1] == 0);
}

/// Load: an upstream at 2.7 times the usual time, and slow at present too.
/// Guards against a free slot there that makes calls miss their objective.
Test(TwoChoices, FreeButTooSlowTargetIsPassedOver)
{
  const std::vector<Target> targets = MakeTargets(3, 2);
  TwoChoicesBalancing policy = MakePolicy();
  ReportLoad(policy, targets[0], 0, PacePercent(250), kNow, milliseconds(675));
  ReportLoad(policy, targets[1], 60, kUsualPace, kNow);
  ReportLoad(policy, targets[2], 5, kUsualPace, kNow);
  const ChoiceConstraints constraints{ .m_timeToObjective = milliseconds(500) };
  cr_assert(Shares(policy, targets, constraints, kNow)[2] == 200);
}

Test(Subset, OwnDataCentreFirstBoundedAndStable)
{
  std::vector<Target> targets = MakeTargets(100, 8);
  const SubsetSettings settings{ VmId("node"), kOwn, RegionId("r1"), 20 };
  const std::vector<Target> before = SelectSubset(settings, targets);
  cr_assert(before.size() == 20);
  for (std::size_t i = 0; i < 8; ++i) {
    cr_assert(before[i].m_dataCentre == kOwn);
  }
  std::set<VmId> kept;
  for (const Target& target : before) {
    kept.insert(target.m_vm);
  }
  std::erase_if(targets, [&](const Target& aTarget) {
    return aTarget.m_vm == before[10].m_vm;
  });
  int added = 0;
  for (const Target& target : SelectSubset(settings, targets)) {
    added += kept.contains(target.m_vm) ? 0 : 1;
  }
  cr_assert(added == 1);
}

Test(Subset, NodesUseTargetsEvenly)
{
  const std::vector<Target> targets = MakeTargets(100, 0);
  std::map<VmId, int> uses;
  for (int node = 0; node < 100; ++node) {
    const SubsetSettings settings{
      VmId("node-" + std::to_string(node)), kOwn, RegionId("r1"), 20
    };
    for (const Target& target : SelectSubset(settings, targets)) {
      ++uses[target.m_vm];
    }
  }
  for (const auto& [vm, count] : uses) {
    cr_assert(count >= 5 && count <= 40, "%s: %d", vm.Value().c_str(), count);
  }
  cr_assert(uses.size() == 100);
}

Test(KeyPlacement, NextHomeIsTheHomeOnceTheHomeIsGone)
{
  const std::vector<Target> targets = MakeTargets(10, 10);
  const auto placement = KeyPlacement::Create(targets).value();
  const UpstreamVersion version("v1");
  std::set<VmId> homes;
  for (int i = 0; i < 200; ++i) {
    const OperationId operation("op-" + std::to_string(i));
    const Target& home = *placement->Home(operation, version);
    const Target& next = *placement->Home(operation, version, 1);
    std::vector<Target> rest = targets;
    std::erase_if(
      rest, [&](const Target& aTarget) { return aTarget.m_vm == home.m_vm; });
    const auto later = KeyPlacement::Create(rest).value();
    cr_assert(later->Home(operation, version)->m_vm == next.m_vm);
    cr_assert(later->Home(operation, version, 1)->m_vm ==
              placement->Home(operation, version, 2)->m_vm);
    homes.insert(home.m_vm);
  }
  cr_assert(homes.size() == 10);
  cr_assert(placement->Home(OperationId("x"), UpstreamVersion("v9")) ==
            nullptr);
}

Test(VersionSplitter, SmallShareIsEvenlySpacedInEveryThread)
{
  VersionSplit split;
  split.m_move = MoveId{};
  split.m_from = UpstreamVersion("v1");
  split.m_to = UpstreamVersion("v2");
  split.m_toShare = Share::FromFraction(0.01);
  int first = 0;
  for (std::uint64_t thread = 0; thread < 1000; ++thread) {
    SeededRandom random(thread);
    VersionSplitter splitter(random);
    int hits = 0;
    int lastHit = -1;
    for (int call = 0; call < 1000; ++call) {
      if (splitter.Choose(split) == split.m_to) {
        cr_assert(lastHit < 0 || call - lastHit == 100);
        lastHit = call;
        first += call == 0 ? 1 : 0;
        ++hits;
      }
    }
    cr_assert(hits == 10);
  }
  // Of the first calls of 1,000 threads, about 1 % go to the new version.
  cr_assert(
    first >= 3 && first <= 20, "first calls to the new version: %d", first);
}

Test(RetryBudget, BoundsRetriesByTheRatioOfFirstAttempts)
{
  RetryBudget budget(RetryBudgetSettings{ 0.1, 10, 0, 1 });
  const ServiceId service;
  int retries = 0;
  for (int call = 0; call < 10'000; ++call) {
    budget.OnFirstAttempt(service, kNow);
    retries += budget.TryRetry(service, 1, kNow) ? 1 : 0;
  }
  cr_assert(retries >= 1000 && retries <= 1011, "retries: %d", retries);
  cr_assert(budget.Refused() == 10'000U - static_cast<unsigned>(retries));
  const ServiceId beyond{ ClientAccountId("other"), ServiceName("x") };
  cr_assert(!budget.TryRetry(beyond, 1, kNow));
}

} // namespace tarragontray
