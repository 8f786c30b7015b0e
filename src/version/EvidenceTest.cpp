#include <algorithm>

#include <criterion/criterion.h>

#include "base/Random.h"
#include "version/EvidenceTable.h"
#include "version/LocalEvidence.h"
#include "version/SequentialTest.h"

namespace tarragontray {

namespace {

using namespace std::chrono_literals;

MovePlan
Plan()
{
  MovePlan plan;
  plan.m_from = UpstreamVersion("v1");
  plan.m_to = UpstreamVersion("v2");
  return plan;
}

EvidenceReport
ReportOf(std::uint64_t aIncarnation, std::uint64_t aCalls)
{
  EvidenceReport report;
  report.m_reporter = VmId("vm-1");
  report.m_incarnation = Incarnation(aIncarnation);
  EvidenceEntry entry{
    RouteName("buy"), UpstreamVersion("v2"), VmId("target-1"), {}
  };
  entry.m_counters.m_calls = aCalls;
  entry.m_counters.m_failures = aCalls / 10;
  report.m_entries.push_back(entry);
  return report;
}

std::uint64_t
CallsIn(const EvidenceWindow& aWindow)
{
  std::uint64_t calls = 0;
  for (const WindowEntry& entry : aWindow.m_entries) {
    calls += entry.m_counters.m_calls;
  }
  return calls;
}

LocalObservation
Observation(const std::string& aTarget, std::uint64_t aCalls)
{
  LocalObservation observation;
  observation.m_route = RouteName("buy");
  observation.m_version = UpstreamVersion("v2");
  observation.m_target = VmId(aTarget);
  observation.m_delta.m_calls = aCalls;
  return observation;
}

} // namespace

Test(EvidenceTable, LostResentAndReorderedReportsChangeNothing)
{
  SeededRandom random(5);
  for (int draw = 0; draw < 100; ++draw) {
    EvidenceTable table(Plan());
    std::uint64_t sum = 0;
    // The last report arrives; of the others some are lost, some come twice,
    // and all in any order.
    std::vector<std::uint64_t> sent;
    for (std::uint64_t calls = 10; calls < 100; calls += 10) {
      sent.insert(sent.end(), random.Below(3), calls);
    }
    sent.push_back(100);
    for (std::size_t i = sent.size(); i > 1; --i) {
      std::swap(sent[i - 1], sent[random.Below(i)]);
    }
    for (const std::uint64_t calls : sent) {
      table.AddReport(ReportOf(1, calls));
      sum += random.Below(2) == 0 ? CallsIn(table.TakeWindow({})) : 0;
    }
    sum += CallsIn(table.TakeWindow({}));
    cr_assert_eq(sum, 100);
  }
}

Test(EvidenceTable, ARestartedReporterCountsFromZero)
{
  EvidenceTable table(Plan());
  table.AddReport(ReportOf(1, 100));
  cr_assert_eq(CallsIn(table.TakeWindow({})), 100);
  table.AddReport(ReportOf(2, 30));
  table.AddReport(ReportOf(1, 200));
  cr_assert_eq(CallsIn(table.TakeWindow({})), 30);
}

Test(EvidenceTable, FirstReportsCanBeTheBaseline)
{
  EvidenceTable table(Plan());
  table.SetFirstReportsAsBaseline(true);
  table.AddReport(ReportOf(1, 100));
  cr_assert_eq(CallsIn(table.TakeWindow({})), 0);
  table.AddReport(ReportOf(1, 130));
  cr_assert_eq(CallsIn(table.TakeWindow({})), 30);
}

Test(EvidenceTable, ATargetsFirstCallsAreMarked)
{
  EvidenceTable table(Plan());
  table.AddReport(ReportOf(1, 10));
  const EvidenceWindow first = table.TakeWindow(MonotonicTime(1s));
  cr_assert(first.m_entries.front().m_hasTooFewCalls);
  table.AddReport(ReportOf(1, 20));
  const EvidenceWindow second = table.TakeWindow(MonotonicTime(2s));
  cr_assert(!second.m_entries.front().m_hasTooFewCalls);
  cr_assert(second.m_entries.front().m_isWarming);
  table.AddReport(ReportOf(1, 30));
  const EvidenceWindow third = table.TakeWindow(MonotonicTime(9s));
  cr_assert(!third.m_entries.front().m_isWarming);
}

Test(EvidenceTable, TurnsAwayWhatIsBeyondItsBound)
{
  EvidenceTable table(Plan());
  EvidenceReport report = ReportOf(1, 1);
  for (std::size_t i = 0; i < EvidenceTable::kMaxEntries; ++i) {
    report.m_entries.push_back(report.m_entries.front());
    report.m_entries.back().m_target = VmId("more-" + std::to_string(i));
  }
  table.AddReport(report);
  cr_assert_eq(table.RejectedCount(), 1);
  cr_assert_eq(CallsIn(table.TakeWindow({})), EvidenceTable::kMaxEntries);
}

Test(LocalEvidence, StartingTargetsDoNotCount)
{
  LocalEvidence evidence(EvidenceReport{});
  LocalObservation observation = Observation("target-1", 5);
  observation.m_isStarting = true;
  evidence.Add(observation);
  cr_assert(evidence.FullReport().m_entries.empty());
}

Test(LocalEvidence, ReportsOnlyChangesTwiceAndAtABoundedRate)
{
  LocalEvidence evidence(EvidenceReport{});
  cr_assert(!evidence.TakeReport(MonotonicTime(0s), 1s).has_value());
  evidence.Add(Observation("target-1", 5));
  cr_assert(evidence.TakeReport(MonotonicTime(0s), 1s).has_value());
  cr_assert(!evidence.TakeReport(MonotonicTime(999ms), 1s).has_value());
  evidence.Add(Observation("target-2", 7));
  const auto second = evidence.TakeReport(MonotonicTime(1s), 1s);
  cr_assert_eq(second->m_entries.size(), 2);
  const auto third = evidence.TakeReport(MonotonicTime(2s), 1s);
  cr_assert_eq(third->m_entries.size(), 1);
  cr_assert(third->m_entries.front().m_target == VmId("target-2"));
  cr_assert(!evidence.TakeReport(MonotonicTime(3s), 1s).has_value());
}

Test(SequentialTest, RarelyAccusesAGoodVersionAndFindsABadOne)
{
  constexpr double kVerdictScore = 9.0;
  constexpr int kRuns = 200;
  const TestRates rates{ 0.015, { 0.03, 0.15, 0.5 } };
  int accused = 0;
  int found = 0;
  SeededRandom random(3);
  for (int run = 0; run < kRuns; ++run) {
    SequentialTest good;
    SequentialTest bad;
    double goodPeak = 0.0;
    for (int window = 0; window < 300; ++window) {
      std::vector<TargetSample> samples;
      for (const char* name : { "a", "b", "c" }) {
        TargetSample sample{ VmId(name), 20, 0 };
        for (int call = 0; call < 20; ++call) {
          // Good at 1 %; bad at 10 % from the 290th window on.
          sample.m_bad += random.Fraction() < 0.01 ? 1 : 0;
        }
        samples.push_back(sample);
      }
      good.Add(rates, samples);
      goodPeak = std::max(goodPeak, good.Score(3));
      for (TargetSample& sample : samples) {
        sample.m_bad += window >= 290 ? random.Below(5) : 0;
      }
      bad.Add(rates, samples);
    }
    accused += goodPeak >= kVerdictScore ? 1 : 0;
    found += bad.Score(3) >= kVerdictScore ? 1 : 0;
  }
  cr_assert_leq(accused, 1);
  cr_assert_eq(found, kRuns);
}

Test(SequentialTest, OneSickTargetOfThreeIsNoEvidence)
{
  const TestRates rates{ 0.01, { 0.03, 0.15, 0.5 } };
  SequentialTest one;
  SequentialTest two;
  for (int window = 0; window < 50; ++window) {
    one.Add(
      rates,
      { { VmId("a"), 20, 18 }, { VmId("b"), 20, 0 }, { VmId("c"), 20, 0 } });
    two.Add(
      rates,
      { { VmId("a"), 20, 18 }, { VmId("b"), 20, 18 }, { VmId("c"), 20, 0 } });
  }
  cr_assert_float_eq(one.Score(3), 0.0, 1e-9);
  cr_assert_gt(two.Score(3), 9.0);
}

Test(SequentialTest, OneTargetSeenOfSeveralIsNoEvidence)
{
  SequentialTest test;
  test.Add({ 0.01, { 0.03, 0.15, 0.5 } }, { { VmId("a"), 20, 18 } });
  cr_assert_float_eq(test.Score(2), 0.0, 1e-9);
  cr_assert_gt(test.Score(1), 9.0);
}

} // namespace tarragontray
