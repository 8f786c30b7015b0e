/// \file
/// tarragontray-experiment-distribution: measures, in virtual time, the
/// propagation delay of configuration documents, the failure detection time and
/// the network traffic of both.
///
///     tarragontray-experiment-distribution --sizes 10,40,160 --json
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "programs/DistributionScenarios.h"

namespace tarragontray {

namespace {

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// Prints the results to standard output, as a table or as JSON with one object
/// per line.
class Report
{
public:
  explicit Report(bool aIsJson)
    : m_isJson(aIsJson)
  {
  }

  void PrintPropagation(const char* aScenario,
                        const char* aMethod,
                        const ScenarioSettings& aSettings,
                        const PropagationFigures& aFigures)
  {
    const char* const kTable =
      "%-8s %-8s %5zu %4.0f%% %9.1f %9.1f %9.1f %7zu %8.0f %8.0f %8.2f\n";
    const char* const kJson =
      R"({"scenario": "%s", "way": "%s", "nodes": %zu, "loss_percent": %.0f, )"
      R"("p50_ms": %.1f, "p99_ms": %.1f, "max_ms": %.1f, "missing": %zu, )"
      R"("mean_bytes_s": %.0f, "max_bytes_s": %.0f, "platform_calls_s": %.2f})"
      "\n";
    std::printf(m_isJson ? kJson : kTable,
                aScenario,
                aMethod,
                aSettings.m_nodes,
                aSettings.m_loss * 100,
                Milliseconds(aFigures.m_p50),
                Milliseconds(aFigures.m_p99),
                Milliseconds(aFigures.m_max),
                aFigures.m_missing,
                aFigures.m_meanBytesPerSecond,
                aFigures.m_maxBytesPerSecond,
                aFigures.m_platformCallsPerSecond);
    std::fflush(stdout);
  }
  void PrintDetection(const ScenarioSettings& aSettings,
                      double aPaused,
                      const DetectionFigures& aFigures)
  {
    const char* const kTable =
      "detect   loss=%2.0f%% paused=%2.0f%% %5zu nodes: "
      "suspected %.1f (max %.1f) s, dead %.1f (max "
      "%.1f) s, false deaths %.3f, false suspicions "
      "%.2f per node-hour, %.0f B/s\n";
    const char* const kJson =
      R"({"scenario": "detection", "loss_percent": %.0f, )"
      R"("paused_percent": %.0f, "nodes": %zu, "suspected_mean_s": %.1f, )"
      R"("suspected_max_s": %.1f, "dead_mean_s": %.1f, "dead_max_s": %.1f, )"
      R"("false_deaths_node_hour": %.3f, )"
      R"("false_suspicions_node_hour": %.2f, "mean_bytes_s": %.0f})"
      "\n";
    std::printf(m_isJson ? kJson : kTable,
                aSettings.m_loss * 100,
                aPaused * 100,
                aSettings.m_nodes,
                Milliseconds(aFigures.m_meanSuspected) / 1000,
                Milliseconds(aFigures.m_maxSuspected) / 1000,
                Milliseconds(aFigures.m_meanDead) / 1000,
                Milliseconds(aFigures.m_maxDead) / 1000,
                aFigures.m_falseDeathsPerNodeHour,
                aFigures.m_falseSuspicionsPerNodeHour,
                aFigures.m_meanBytesPerSecond);
    std::fflush(stdout);
  }
  void PrintHeader() const
  {
    if (!m_isJson) {
      std::printf("scenario way      nodes  loss    p50 ms    p99 ms    max ms "
                  "missing  B/s avg  B/s max  calls/s\n");
    }
  }

private:
  bool m_isJson;
};

/// One scenario, measured with gossip and with the watch baseline.
struct Scenario
{
  std::string m_name;
  PropagationFigures (*m_gossip)(const ScenarioSettings&);
  /// Null if the baseline has no counterpart of the scenario.
  PropagationFigures (*m_watch)(const ScenarioSettings&);
};

const std::vector<Scenario> kScenarios = {
  { "rest", MeasureRest, nullptr },
  { "change", MeasureChange, MeasureBaselineChange },
  { "burst", MeasureBurst, MeasureBaselineBurst },
  { "return", MeasureReturn, MeasureBaselineReturn },
};

void
RunPropagation(Report& aReport,
               const std::vector<std::string>& aNames,
               const ScenarioSettings& aSettings)
{
  for (const Scenario& scenario : kScenarios) {
    const char* name = scenario.m_name.c_str();
    if (std::find(aNames.begin(), aNames.end(), scenario.m_name) ==
        aNames.end()) {
      continue;
    }
    aReport.PrintPropagation(
      name, "gossip", aSettings, scenario.m_gossip(aSettings));
    if (scenario.m_watch != nullptr) {
      aReport.PrintPropagation(
        name, "watch", aSettings, scenario.m_watch(aSettings));
    }
  }
}

void
RunDetection(Report& aReport, ScenarioSettings aSettings)
{
  for (const double loss : { 0.0, 0.05, 0.2 }) {
    aSettings.m_loss = loss;
    for (const double paused : { 0.0, 0.1 }) {
      aReport.PrintDetection(
        aSettings, paused, MeasureDetection(aSettings, paused));
    }
  }
}

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options(
    "tarragontray-experiment-distribution",
    "Measures configuration propagation and failure detection.");
  const auto sizes = cxxopts::value<std::vector<std::size_t>>();
  const auto scenarioNames = cxxopts::value<std::vector<std::string>>();
  const auto count = cxxopts::value<std::size_t>();
  options.add_options()("sizes",
                        "fleet sizes to measure, in nodes",
                        sizes->default_value("10,20,40,80,160"))(
    "scenarios",
    "propagation scenarios to run",
    scenarioNames->default_value("rest,change,burst,return"))(
    "data-centres", "number of data centres", count->default_value("4"))(
    "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "loss",
    "fraction of datagrams lost in the propagation scenarios",
    cxxopts::value<double>()->default_value("0"))(
    "detection-nodes",
    "nodes in the failure detection scenarios; 0 skips them",
    cxxopts::value<std::size_t>()->default_value("80"))(
    "json", "prints JSON, one object per line")("help", "prints this text")(
    "version", "prints the version");
  const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "tarragontray-experiment-distribution " << TARRAGONTRAY_VERSION
              << "\n";
    return 0;
  }
  Report report(parsed.count("json") > 0);
  ScenarioSettings settings;
  settings.m_dataCentres = parsed["data-centres"].as<std::size_t>();
  settings.m_seed = parsed["seed"].as<std::uint64_t>();
  settings.m_loss = parsed["loss"].as<double>();
  const auto scenarios = parsed["scenarios"].as<std::vector<std::string>>();
  report.PrintHeader();
  for (const std::size_t size :
       parsed["sizes"].as<std::vector<std::size_t>>()) {
    settings.m_nodes = size;
    RunPropagation(report, scenarios, settings);
  }
  settings.m_nodes = parsed["detection-nodes"].as<std::size_t>();
  if (settings.m_nodes > 0) {
    RunDetection(report, settings);
  }
  return 0;
}

} // namespace

} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  try {
    return tarragontray::Run(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "experiment: " << error.what() << "\n";
    return 2;
  }
}
