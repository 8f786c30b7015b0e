#include "request/testing/RequestModel.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

using std::chrono::seconds;
using testing::AccountStats;
using testing::AdmissionKind;
using testing::BalancingKind;
using testing::ModelResult;
using testing::ModelSettings;
using testing::Percentile;
using testing::RetryKind;
using testing::SecondStats;

constexpr std::uint64_t kSeeds[] = { 1, 2, 3 };

ModelSettings
AtLoad(std::uint64_t aSeed, double aLoad)
{
  ModelSettings settings;
  settings.m_seed = aSeed;
  settings.m_phases = { { seconds(5), aLoad } };
  return settings;
}

void
UseBaselinePolicies(ModelSettings& aSettings)
{
  aSettings.m_balancing = BalancingKind::RoundRobin;
  aSettings.m_admission = AdmissionKind::Fifo;
  aSettings.m_retries = RetryKind::ThreeTries;
}

double
Part(std::uint64_t aPart, std::uint64_t aWhole)
{
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

Test(RequestModel, SlowAndMisleadingTargetsCostLessThanWithTheBaseline)
{
  for (const std::uint64_t seed : kSeeds) {
    for (const double load : { 0.5, 0.9 }) {
      ModelSettings settings = AtLoad(seed, load);
      const AccountStats ours = testing::RunModel(settings).Total();
      UseBaselinePolicies(settings);
      const AccountStats plain = testing::RunModel(settings).Total();
      const double high = Percentile(ours.m_latencies, 0.99);
      const double plainHigh = Percentile(plain.m_latencies, 0.99);
      cr_assert(high <= 0.7 * plainHigh,
                "seed %lu load %.1f: p99 %.1f ms, baseline %.1f ms",
                seed,
                load,
                high,
                plainHigh);
      // There is room for every call.
      cr_assert(Part(ours.m_done, ours.m_offered) >= 0.999);
    }
  }
}

Test(RequestModel, OverloadingAccountDoesNotAffectOthers)
{
  for (const std::uint64_t seed : kSeeds) {
    const ModelResult result = testing::RunModel(AtLoad(seed, 1.5));
    for (std::size_t i = 0; i < 2; ++i) {
      const AccountStats& steady = result.m_accounts[i];
      cr_assert(Part(steady.m_done, steady.m_offered) >= 0.99,
                "seed %lu: %s done %lu of %lu",
                seed,
                steady.m_account.c_str(),
                steady.m_done,
                steady.m_offered);
    }
    // The capacity is used, and what is not run is refused in time.
    const AccountStats total = result.Total();
    cr_assert(Part(total.m_done, total.m_offered) >= 0.97 / 1.5);
    cr_assert(Part(total.m_unknown, total.m_offered) <= 0.001);
  }
}

Test(RequestModel, OutageAddsNoMoreThanTheRetryBudgetAndLoadRecovers)
{
  for (const std::uint64_t seed : kSeeds) {
    for (const double targets : { 0.5, 1.0 }) {
      ModelSettings settings = AtLoad(seed, 0.9);
      settings.m_hasDegradedTargets = false;
      settings.m_idempotentShare = 1;
      // Room for many more runs, so that only the policy bounds them.
      settings.m_phases = { { seconds(5), 0.6 }, { seconds(9), 0.8 } };
      settings.m_outage =
        testing::Outage{ targets, 0.5 / targets, seconds(2), seconds(5) };
      const ModelResult result = testing::RunModel(settings);
      SecondStats during;
      for (std::size_t i = 2; i < 5; ++i) {
        during.m_runs += result.m_seconds[i].m_runs;
        during.m_offered += result.m_seconds[i].m_offered;
      }
      // The budget's ratio, and its burst at each of the entry nodes.
      cr_assert(Part(during.m_runs, during.m_offered) <= 1.11);
      const SecondStats& end = result.m_seconds[8];
      cr_assert(Part(end.m_done, end.m_offered) >= 0.99,
                "seed %lu: done %lu of %lu after the outage",
                seed,
                end.m_done,
                end.m_offered);
    }
  }
}

} // namespace tarragontray
