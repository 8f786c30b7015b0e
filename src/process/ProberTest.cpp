#include "process/Prober.h"

#include <set>

#include <criterion/criterion.h>

#include "process/Suspicions.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<VmId> kMembers = { VmId("a"), VmId("b"), VmId("c") };
constexpr MonotonicTime kStart{ seconds(100) };

} // namespace

Test(Prober, EachMemberOnceInARound)
{
  SeededRandom random(1);
  Prober prober({}, random);
  MonotonicTime now = kStart;
  for (int round = 0; round < 5; ++round) {
    std::set<VmId> probed;
    for (int i = 0; i < 3; ++i, now = prober.NextTick()) {
      const ProbeStep step = prober.Tick(now, kMembers);
      cr_assert(prober.OnAck(step.m_number));
      probed.insert(*step.m_ping);
    }
    cr_assert_eq(probed.size(), 3);
  }
}

Test(Prober, UnansweredProbeIsRepeatedThenFails)
{
  SeededRandom random(1);
  Prober prober({}, random);
  const ProbeStep first = prober.Tick(kStart, kMembers);
  cr_assert(first.m_ping.has_value() && !first.m_needsIndirectProbes);
  const ProbeStep second = prober.Tick(prober.NextTick(), kMembers);
  cr_assert(second.m_ping == first.m_ping && second.m_needsIndirectProbes);
  cr_assert_eq(second.m_number, first.m_number);
  const ProbeStep third = prober.Tick(prober.NextTick(), kMembers);
  cr_assert(third.m_ping == first.m_ping && !third.m_needsIndirectProbes);
  cr_assert(prober.NextTick() == kStart + seconds(1));
  const ProbeStep next = prober.Tick(prober.NextTick(), kMembers);
  cr_assert(next.m_failed == first.m_ping);
  cr_assert(!prober.OnAck(first.m_number));
}

Test(Prober, FailuresSlowANodeDownAndAnswersSpeedItUp)
{
  SeededRandom random(1);
  Prober prober({}, random);
  MonotonicTime now = kStart;
  ProbeStep step = prober.Tick(now, kMembers);
  while (!step.m_failed) {
    now = prober.NextTick();
    step = prober.Tick(now, kMembers);
  }
  cr_assert_eq(prober.LocalHealth(), 1);
  cr_assert(prober.NextTick() == now + 2 * ProbeSettings{}.m_timeout);
  cr_assert(prober.OnAck(step.m_number));
  cr_assert_eq(prober.LocalHealth(), 0);
  cr_assert(prober.NextTick() == now + 2 * ProbeSettings{}.m_interval);
  for (int i = 0; i < 20; ++i) {
    prober.Penalize();
  }
  cr_assert_eq(prober.LocalHealth(), ProbeSettings{}.m_maxLocalHealth);
}

Test(Suspicions, TheOneThatProbedAsksAgainAndDecidesFirst)
{
  Suspicions suspicions({});
  suspicions.Start(VmId("own"), SuspicionSource::OwnProbe, kStart);
  suspicions.Start(VmId("rumour"), SuspicionSource::Rumour, kStart);
  for (int i = 0; i < 8; ++i) {
    const std::vector<VmId> asks =
      suspicions.TakeDuePings(kStart + i * milliseconds(500));
    cr_assert(asks == std::vector<VmId>{ VmId("own") });
  }
  cr_assert(
    suspicions.TakeExpired(kStart + seconds(4) - milliseconds(1)).empty());
  cr_assert(suspicions.TakeExpired(kStart + seconds(4)) ==
            std::vector<VmId>{ VmId("own") });
  cr_assert(suspicions.TakeExpired(kStart + seconds(8)) ==
            std::vector<VmId>{ VmId("rumour") });
}

Test(Suspicions, AHeardSuspectHasTimeToRefute)
{
  Suspicions suspicions({});
  suspicions.Start(VmId("a"), SuspicionSource::OwnProbe, kStart);
  suspicions.Extend(VmId("a"), kStart + seconds(3));
  cr_assert(suspicions.TakeExpired(kStart + seconds(6)).empty());
  cr_assert_eq(suspicions.TakeExpired(kStart + seconds(7)).size(), 1);
}

Test(Suspicions, OwnPauseIsNotCounted)
{
  Suspicions suspicions({});
  suspicions.Start(VmId("a"), SuspicionSource::OwnProbe, kStart);
  suspicions.Postpone(seconds(60));
  cr_assert(suspicions.TakeExpired(kStart + seconds(60)).empty());
  cr_assert_eq(suspicions.TakeExpired(kStart + seconds(64)).size(), 1);
}

} // namespace tarragontray
