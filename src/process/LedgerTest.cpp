#include "process/Ledger.h"

#include <algorithm>

#include <criterion/criterion.h>

#include "base/Random.h"

namespace tarragontray {

namespace {

const UsageKey kKey{ ClientAccountId("vanua-voice"),
                     ClientAccountId("mesqel-gate") };
constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr Duration kSlotTime = std::chrono::milliseconds(10);

Ledger
MakeLedger(const std::string& aVm, std::uint64_t aIncarnation = 1)
{
  LedgerSettings settings;
  settings.m_vm = VmId(aVm);
  settings.m_incarnation = Incarnation(aIncarnation);
  return Ledger::Create(settings).value();
}

} // namespace

Test(Ledger, ResentLostAndReorderedReportsAddUpToTheTruth)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SeededRandom random(seed);
    std::vector<Ledger> nodes;
    for (int i = 0; i < 4; ++i) {
      nodes.push_back(MakeLedger("vm-" + std::to_string(i)));
    }
    Ledger aggregator = MakeLedger("steward");
    std::vector<UsageReport> inFlight;
    std::uint64_t truth = 0;
    for (int step = 0; step < 300; ++step) {
      Ledger& node = nodes[random.Below(nodes.size())];
      const std::uint64_t calls = random.Below(5);
      node.Add(kKey, { CallCount(calls), kSlotTime * calls });
      truth += calls;
      inFlight.push_back(node.Own());
      const UsageReport& any = inFlight[random.Below(inFlight.size())];
      if (random.Below(3) > 0) {
        aggregator.Merge(any);
      }
    }
    for (Ledger& node : nodes) {
      aggregator.Merge(node.Own());
    }
    for (const UsageReport& late : inFlight) {
      aggregator.Merge(late);
    }
    const std::vector<UsageEntry> totals = aggregator.Totals();
    cr_assert(totals.size() == 1);
    cr_assert(totals[0].m_usage.m_calls == CallCount(truth));
    cr_assert(totals[0].m_usage.m_slotTime == kSlotTime * truth);
  }
}

Test(Ledger, KilledNodeLosesAtMostWhatItAddedSinceItsLastReport)
{
  Ledger before = MakeLedger("vm-1", 1);
  before.Add(kKey, { CallCount(100), kSlotTime * 100 });
  Ledger aggregator = MakeLedger("steward");
  for (const UsageReport& report : before.TakeDue(kStart)) {
    aggregator.Merge(report);
  }
  before.Add(kKey, { CallCount(7), kSlotTime * 7 });
  // Killed here; its next life counts under a new incarnation.
  Ledger after = MakeLedger("vm-1", 2);
  after.Add(kKey, { CallCount(1), kSlotTime });
  aggregator.Merge(after.Own());
  cr_assert(aggregator.Totals().at(0).m_usage.m_calls == CallCount(101));
}

Test(Ledger, WritesAreBoundedInRateAndFailedOnesComeAgain)
{
  LedgerSettings settings;
  settings.m_vm = VmId("steward");
  settings.m_reportsPerRound = 2;
  Ledger aggregator = Ledger::Create(settings).value();
  for (int i = 0; i < 5; ++i) {
    Ledger node = MakeLedger("vm-" + std::to_string(i));
    node.Add(kKey, { CallCount(1), kSlotTime });
    aggregator.Merge(node.Own());
  }
  const std::vector<UsageReport> first = aggregator.TakeDue(kStart);
  cr_assert(first.size() == 2);
  cr_assert(aggregator.TakeDue(kStart + std::chrono::seconds(9)).empty());
  aggregator.WriteFailed(first[0].m_vm, first[0].m_incarnation);
  std::vector<VmId> written;
  for (int round = 1; round <= 3; ++round) {
    for (const UsageReport& report :
         aggregator.TakeDue(kStart + std::chrono::seconds(10 * round))) {
      written.push_back(report.m_vm);
    }
  }
  cr_assert(written.size() == 4);
  cr_assert(std::count(written.begin(), written.end(), first[0].m_vm) == 1);
}

Test(Ledger, BoundsCountWhatTheyTurnAway)
{
  LedgerSettings settings;
  settings.m_maxKeys = 1;
  settings.m_maxSources = 1;
  Ledger ledger = Ledger::Create(settings).value();
  ledger.Add(kKey, { CallCount(1), kSlotTime });
  ledger.Add({}, { CallCount(1), kSlotTime });
  cr_assert(!ledger.Merge({ VmId("other"), Incarnation(1), {} }));
  cr_assert(ledger.TurnedAway() == 2);
}

} // namespace tarragontray
