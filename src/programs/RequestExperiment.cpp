/// \file
/// tarragontray-experiment-requests: compares the policies for load balancing,
/// admission control and retries with simple baselines in simulations.
///
///     tarragontray-experiment-requests --seed 1 --json
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "process/Settings.h"
#include "request/testing/RequestModel.h"

namespace tarragontray {
namespace {

constexpr std::int64_t kMaxSeed = 1'000'000'000;

using std::chrono::seconds;
using testing::AccountStats;
using testing::AdmissionKind;
using testing::BalancingKind;
using testing::ModelResult;
using testing::ModelSettings;
using testing::Percentile;
using testing::RetryKind;
using testing::SecondStats;

/// A combination of policies to compare.
struct PolicySet
{
  const char* m_name;
  BalancingKind m_balancing;
  AdmissionKind m_admission;
  RetryKind m_retries;
};

/// The default policies of a node.
constexpr PolicySet kProduction{ "two-choices+fair+budget",
                                 BalancingKind::TwoChoices,
                                 AdmissionKind::Fair,
                                 RetryKind::Budget };
constexpr PolicySet kProductionWithThreeTries{ "two-choices+fair+three",
                                               BalancingKind::TwoChoices,
                                               AdmissionKind::Fair,
                                               RetryKind::ThreeTries };
constexpr PolicySet kBaseline{ "round-robin+fifo+three",
                               BalancingKind::RoundRobin,
                               AdmissionKind::Fifo,
                               RetryKind::ThreeTries };
constexpr PolicySet kBaselineWithBudget{ "round-robin+fifo+budget",
                                         BalancingKind::RoundRobin,
                                         AdmissionKind::Fifo,
                                         RetryKind::Budget };
/// Offered load relative to the true capacity.
constexpr double kLoads[] = { 0.5, 0.9, 1.5 };

ModelSettings
SettingsOf(const PolicySet& aPolicies, std::uint64_t aSeed)
{
  ModelSettings settings;
  settings.m_seed = aSeed;
  settings.m_balancing = aPolicies.m_balancing;
  settings.m_admission = aPolicies.m_admission;
  settings.m_retries = aPolicies.m_retries;
  return settings;
}

double
Fraction(std::uint64_t aPart, std::uint64_t aTotal)
{
  return aTotal == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aTotal);
}

/// One row of the comparison at a constant load.
struct LoadRow
{
  std::string m_name;
  double m_load = 0;
  /// Latencies of the calls done, in milliseconds.
  double m_p50 = 0;
  double m_p99 = 0;
  /// 99th percentile of the latencies of the first steady account, in
  /// milliseconds.
  double m_steadyP99 = 0;
  /// Fractions of the offered calls.
  double m_done = 0;
  double m_refused = 0;
  double m_unknown = 0;
  /// Per account: the calls done as a fraction of the account's offered calls,
  /// and as a fraction of the calls done of all accounts.
  std::vector<double> m_accountDone;
  std::vector<double> m_accountShare;
};

LoadRow
RunLoad(const PolicySet& aPolicies, double aLoad, std::uint64_t aSeed)
{
  ModelSettings settings = SettingsOf(aPolicies, aSeed);
  settings.m_phases = { { seconds(12), aLoad } };
  const ModelResult result = testing::RunModel(settings);
  const AccountStats total = result.Total();
  LoadRow row{ aPolicies.m_name,
               aLoad,
               Percentile(total.m_latencies, 0.5),
               Percentile(total.m_latencies, 0.99),
               Percentile(result.m_accounts.front().m_latencies, 0.99),
               Fraction(total.m_done, total.m_offered),
               Fraction(total.m_notRun, total.m_offered),
               Fraction(total.m_unknown, total.m_offered),
               {},
               {} };
  for (const AccountStats& account : result.m_accounts) {
    row.m_accountDone.push_back(Fraction(account.m_done, account.m_offered));
    row.m_accountShare.push_back(Fraction(account.m_done, total.m_done));
  }
  return row;
}

/// An outage: the fraction of the targets that are affected, and the fraction
/// of their calls that fail.
struct OutageKind
{
  const char* m_name;
  double m_targets;
  double m_calls;
};

constexpr OutageKind kOutageKinds[] = { { "half of the targets", 0.5, 1 },
                                        { "half of all calls", 1, 0.5 } };

/// One row of the comparison over an outage.
struct OutageRow
{
  std::string m_kind;
  std::string m_name;
  /// Runs at upstreams per offered call, before and during the outage.
  double m_runsBefore = 0;
  double m_runsDuring = 0;
  /// Fraction of the calls offered during the outage that were done.
  double m_doneDuring = 0;
  /// 99th percentile of the calls done during the outage, in milliseconds.
  double m_p99During = 0;
  /// Seconds from the end of the outage until all following seconds are
  /// healthy, or -1 if the service did not recover.
  double m_recoverySeconds = -1;
  /// Fraction of the calls offered in the last 5 s that were done.
  double m_doneAtEnd = 0;
};

/// Times in seconds of virtual time.
constexpr std::size_t kOutageStart = 10;
constexpr std::size_t kOutageEnd = 20;
constexpr std::size_t kEnd = 40;
/// Minimum fraction of calls done for a second to count as healthy.
constexpr double kHealthyDone = 0.99;
/// Maximum 99th percentile of the latency for a second to count as healthy, as
/// a multiple of the one before the outage.
constexpr double kHealthyLatency = 2;

/// Adds up the seconds from aFrom up to, but not including, aTo.
SecondStats
Sum(const ModelResult& aResult, std::size_t aFrom, std::size_t aTo)
{
  SecondStats sum;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    const SecondStats& second = aResult.m_seconds[i];
    sum.m_offered += second.m_offered;
    sum.m_done += second.m_done;
    sum.m_runs += second.m_runs;
    sum.m_latencies.insert(sum.m_latencies.end(),
                           second.m_latencies.begin(),
                           second.m_latencies.end());
  }
  std::sort(sum.m_latencies.begin(), sum.m_latencies.end());
  return sum;
}

/// Returns OutageRow::m_recoverySeconds. \param aLatencyBefore the 99th
/// percentile before the outage, in milliseconds.
double
RecoveryTime(const ModelResult& aResult, double aLatencyBefore)
{
  std::size_t lastUnhealthy = kOutageEnd - 1;
  for (std::size_t i = kOutageEnd; i < kEnd; ++i) {
    const SecondStats& second = aResult.m_seconds[i];
    const bool isHealthy =
      Fraction(second.m_done, second.m_offered) >= kHealthyDone &&
      Percentile(second.m_latencies, 0.99) <= kHealthyLatency * aLatencyBefore;
    lastUnhealthy = isHealthy ? lastUnhealthy : i;
  }
  return lastUnhealthy + 1 == kEnd
           ? -1
           : static_cast<double>(lastUnhealthy + 1 - kOutageEnd);
}

OutageRow
RunOutage(const OutageKind& aKind,
          const PolicySet& aPolicies,
          std::uint64_t aSeed)
{
  ModelSettings settings = SettingsOf(aPolicies, aSeed);
  settings.m_hasDegradedTargets = false;
  settings.m_idempotentShare = 1;
  settings.m_phases = { { seconds(kOutageEnd), 0.9 }, { seconds(kEnd), 0.8 } };
  settings.m_outage = testing::Outage{
    aKind.m_targets, aKind.m_calls, seconds(kOutageStart), seconds(kOutageEnd)
  };
  const ModelResult result = testing::RunModel(settings);
  const SecondStats before = Sum(result, 5, kOutageStart);
  const SecondStats during = Sum(result, kOutageStart, kOutageEnd);
  const SecondStats end = Sum(result, kEnd - 5, kEnd);
  return { aKind.m_name,
           aPolicies.m_name,
           Fraction(before.m_runs, before.m_offered),
           Fraction(during.m_runs, during.m_offered),
           Fraction(during.m_done, during.m_offered),
           Percentile(during.m_latencies, 0.99),
           RecoveryTime(result, Percentile(before.m_latencies, 0.99)),
           Fraction(end.m_done, end.m_offered) };
}

std::string
FormatPercents(const std::vector<double>& aFractions)
{
  std::string text;
  for (const double fraction : aFractions) {
    char buffer[16];
    std::snprintf(buffer, sizeof buffer, "%6.1f", 100 * fraction);
    text += buffer;
  }
  return text;
}

void
PrintLoads(const std::vector<LoadRow>& aRows)
{
  std::printf("%-24s %4s %8s %8s %10s %6s %6s %6s | %-18s | %s\n",
              "policies",
              "load",
              "p50 ms",
              "p99 ms",
              "steady p99",
              "done%",
              "refus%",
              "unkn%",
              "done% by account",
              "share of all done by account (steady, steady, flood)");
  for (const LoadRow& row : aRows) {
    std::printf("%-24s %4.1f %8.2f %8.2f %10.2f %6.1f %6.1f %6.1f |%s |%s\n",
                row.m_name.c_str(),
                row.m_load,
                row.m_p50,
                row.m_p99,
                row.m_steadyP99,
                100 * row.m_done,
                100 * row.m_refused,
                100 * row.m_unknown,
                FormatPercents(row.m_accountDone).c_str(),
                FormatPercents(row.m_accountShare).c_str());
  }
}

void
PrintOutages(const std::vector<OutageRow>& aRows)
{
  std::printf("\n%-20s %-24s %11s %11s %12s %10s %10s %9s\n",
              "outage",
              "policies",
              "runs before",
              "runs during",
              "done% during",
              "p99 during",
              "recovery s",
              "done% end");
  for (const OutageRow& row : aRows) {
    std::printf("%-20s %-24s %11.3f %11.3f %12.1f %10.1f %10.0f %9.1f\n",
                row.m_kind.c_str(),
                row.m_name.c_str(),
                row.m_runsBefore,
                row.m_runsDuring,
                100 * row.m_doneDuring,
                row.m_p99During,
                row.m_recoverySeconds,
                100 * row.m_doneAtEnd);
  }
}

boost::json::array
ToJson(const std::vector<double>& aValues)
{
  return boost::json::array(aValues.begin(), aValues.end());
}

boost::json::object
ToJson(const std::vector<LoadRow>& aLoads,
       const std::vector<OutageRow>& aOutages,
       std::uint64_t aSeed)
{
  boost::json::array loads;
  for (const LoadRow& row : aLoads) {
    loads.push_back({ { "policies", row.m_name },
                      { "load", row.m_load },
                      { "p50_ms", row.m_p50 },
                      { "p99_ms", row.m_p99 },
                      { "steady_p99_ms", row.m_steadyP99 },
                      { "done", row.m_done },
                      { "refused", row.m_refused },
                      { "unknown", row.m_unknown },
                      { "account_done", ToJson(row.m_accountDone) },
                      { "account_share", ToJson(row.m_accountShare) } });
  }
  boost::json::array outages;
  for (const OutageRow& row : aOutages) {
    outages.push_back({ { "outage", row.m_kind },
                        { "policies", row.m_name },
                        { "runs_before", row.m_runsBefore },
                        { "runs_during", row.m_runsDuring },
                        { "done_during", row.m_doneDuring },
                        { "p99_during_ms", row.m_p99During },
                        { "recovery_seconds", row.m_recoverySeconds },
                        { "done_at_end", row.m_doneAtEnd } });
  }
  return { { "seed", aSeed }, { "loads", loads }, { "outages", outages } };
}

SettingsParser
RequestParser()
{
  SettingsParser parser("tarragontray-experiment-requests",
                        "Compares request policies with simple baselines.");
  parser.Add(IntegerSetting{
    "seed", "", "The random seed of all simulations.", 0, kMaxSeed, 1 });
  parser.Add(SwitchSetting{ "json", "Prints JSON instead of a table." });
  return parser;
}

int
Run(const Settings& aSettings)
{
  const auto seed = static_cast<std::uint64_t>(aSettings.Integer("seed"));
  std::vector<LoadRow> loads;
  for (const double load : kLoads) {
    for (const PolicySet& policies : { kProduction, kBaselineWithBudget }) {
      loads.push_back(RunLoad(policies, load, seed));
    }
  }
  std::vector<OutageRow> outages;
  for (const OutageKind& kind : kOutageKinds) {
    for (const PolicySet& policies :
         { kProduction, kProductionWithThreeTries, kBaseline }) {
      outages.push_back(RunOutage(kind, policies, seed));
    }
  }
  if (aSettings.IsOn("json")) {
    std::cout << ToJson(loads, outages, seed) << "\n";
  } else {
    PrintLoads(loads);
    PrintOutages(outages);
  }
  return 0;
}

} // namespace
} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  using namespace tarragontray;
  const ParsedCommand command = RequestParser().Parse(aCount, aArguments);
  return command.m_exitStatus ? *command.m_exitStatus : Run(command.m_settings);
}
