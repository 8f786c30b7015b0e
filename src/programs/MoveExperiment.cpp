/// \file
/// tarragontray-experiment-moves: compares traffic shift policies on simulated
/// moves. Each scenario kind runs with the same seeds under each policy.
///
///     tarragontray-experiment-moves --seeds 10 --first-seed 1 --json
///     tarragontray-experiment-moves --seeds 100 --brief
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "process/Settings.h"
#include "version/BriefMovePolicy.h"
#include "version/FixedStepPolicy.h"
#include "version/SequentialMovePolicy.h"
#include "version/testing/BriefScenarios.h"
#include "version/testing/MoveScenarios.h"

namespace tarragontray {
namespace {

constexpr std::int64_t kMaxSeed = 1'000'000'000;

using testing::PolicyFactory;
using testing::ScenarioKind;
using testing::ScenarioOutcome;

/// A policy to compare.
struct Candidate
{
  std::string m_name;
  PolicyFactory m_make;
};

/// The results of one policy, for one scenario kind or a group of kinds.
struct Summary
{
  std::string m_policy;
  std::string m_kind;
  std::size_t m_moves = 0;
  std::size_t m_doneInTime = 0;
  std::size_t m_takenBack = 0;
  /// Fraction of all calls that a fault of the new version affected.
  double m_faultyFractionMedian = 0.0;
  double m_faultyFractionMax = 0.0;
  /// Seconds from the first affected call until the rollback has removed all
  /// traffic from the new version.
  double m_reactionSecondsMedian = 0.0;
  double m_reactionSecondsMax = 0.0;
};

std::vector<Candidate>
Candidates()
{
  return {
    { "sequential",
      [] {
        return SequentialMovePolicy::Create(SequentialSettings{}).value();
      } },
    { "fixed-step",
      [] { return FixedStepPolicy::Create(FixedStepSettings{}).value(); } }
  };
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aFraction * last)];
}

Summary
Summarise(const std::string& aPolicy,
          const std::string& aKind,
          const std::vector<ScenarioOutcome>& aOutcomes)
{
  Summary summary;
  summary.m_policy = aPolicy;
  summary.m_kind = aKind;
  summary.m_moves = aOutcomes.size();
  std::vector<double> faultyFractions;
  std::vector<double> reactions;
  for (const ScenarioOutcome& outcome : aOutcomes) {
    summary.m_doneInTime += outcome.m_isDoneInTime ? 1 : 0;
    summary.m_takenBack += outcome.m_isTakenBack ? 1 : 0;
    faultyFractions.push_back(outcome.m_faultyFraction);
    if (outcome.m_reaction) {
      reactions.push_back(
        std::chrono::duration<double>(*outcome.m_reaction).count());
    }
  }
  summary.m_faultyFractionMedian = Quantile(faultyFractions, 0.5);
  summary.m_faultyFractionMax = Quantile(faultyFractions, 1.0);
  summary.m_reactionSecondsMedian = Quantile(reactions, 0.5);
  summary.m_reactionSecondsMax = Quantile(reactions, 1.0);
  return summary;
}

void
PrintFailure(const Candidate& aCandidate, const ScenarioOutcome& aOutcome)
{
  std::cerr << "wrong policy=" << aCandidate.m_name
            << " kind=" << testing::Name(aOutcome.m_kind)
            << " seed=" << aOutcome.m_seed
            << " state=" << Name(aOutcome.m_result.m_state) << " reason=\""
            << aOutcome.m_result.m_reason << "\"\n";
}

std::vector<Summary>
RunCandidate(const Candidate& aCandidate,
             std::uint64_t aFirstSeed,
             std::uint64_t aSeeds,
             bool aVerbose)
{
  std::vector<Summary> summaries;
  std::vector<ScenarioOutcome> bad;
  std::vector<ScenarioOutcome> good;
  for (const ScenarioKind kind : testing::AllScenarioKinds()) {
    std::vector<ScenarioOutcome> outcomes;
    for (std::uint64_t i = 0; i < aSeeds; ++i) {
      outcomes.push_back(
        testing::RunScenario(kind, aFirstSeed + i, aCandidate.m_make));
      const ScenarioOutcome& outcome = outcomes.back();
      const bool isCorrect =
        testing::IsBad(kind) ? outcome.m_isTakenBack : outcome.m_isDoneInTime;
      if (aVerbose && !isCorrect) {
        PrintFailure(aCandidate, outcome);
      }
    }
    summaries.push_back(
      Summarise(aCandidate.m_name, std::string(testing::Name(kind)), outcomes));
    auto& group = testing::IsBad(kind) ? bad : good;
    group.insert(group.end(), outcomes.begin(), outcomes.end());
  }
  summaries.push_back(Summarise(aCandidate.m_name, "all-bad", bad));
  summaries.push_back(Summarise(aCandidate.m_name, "all-good", good));
  return summaries;
}

void
PrintTable(const std::vector<Summary>& aSummaries)
{
  std::printf("%-11s %-20s %5s %6s %6s %9s %9s %9s %9s\n",
              "policy",
              "kind",
              "moves",
              "done",
              "back",
              "hurt-p50",
              "hurt-max",
              "stop-p50",
              "stop-max");
  for (const Summary& row : aSummaries) {
    std::printf("%-11s %-20s %5zu %6zu %6zu %8.3f%% %8.3f%% %8.1fs %8.1fs\n",
                row.m_policy.c_str(),
                row.m_kind.c_str(),
                row.m_moves,
                row.m_doneInTime,
                row.m_takenBack,
                100.0 * row.m_faultyFractionMedian,
                100.0 * row.m_faultyFractionMax,
                row.m_reactionSecondsMedian,
                row.m_reactionSecondsMax);
  }
}

boost::json::array
ToJson(const std::vector<Summary>& aSummaries)
{
  boost::json::array rows;
  for (const Summary& row : aSummaries) {
    rows.push_back({ { "policy", row.m_policy },
                     { "kind", row.m_kind },
                     { "moves", row.m_moves },
                     { "done_in_time", row.m_doneInTime },
                     { "taken_back", row.m_takenBack },
                     { "hurt_part_p50", row.m_faultyFractionMedian },
                     { "hurt_part_max", row.m_faultyFractionMax },
                     { "stop_seconds_p50", row.m_reactionSecondsMedian },
                     { "stop_seconds_max", row.m_reactionSecondsMax } });
  }
  return rows;
}

/// Runs the scenarios of moves that last seconds under BriefMovePolicy and
/// prints one line per kind.
void
RunBrief(std::uint64_t aFirstSeed, std::uint64_t aSeeds, bool aVerbose)
{
  std::printf("%-18s %5s %6s %6s %6s %9s %9s\n",
              "kind",
              "moves",
              "done",
              "back",
              "over",
              "exp-p50",
              "exp-max");
  for (const testing::BriefKind kind : testing::AllBriefKinds()) {
    std::size_t done = 0;
    std::size_t takenBack = 0;
    std::size_t overexposed = 0;
    std::vector<double> exposures;
    for (std::uint64_t i = 0; i < aSeeds; ++i) {
      const testing::BriefOutcome outcome =
        testing::RunBriefScenario(kind, aFirstSeed + i, [] {
          return BriefMovePolicy::Create(BriefMoveSettings{}).value();
        });
      done += outcome.m_isDone ? 1 : 0;
      takenBack += outcome.m_isTakenBack ? 1 : 0;
      overexposed += outcome.m_isOverexposed ? 1 : 0;
      exposures.push_back(outcome.m_exposure);
      const bool isWrong =
        testing::IsBad(kind) ? outcome.m_isOverexposed : outcome.m_isTakenBack;
      if (aVerbose && isWrong) {
        std::cerr << "wrong kind=" << testing::Name(kind)
                  << " seed=" << aFirstSeed + i
                  << " exposure=" << outcome.m_exposure << " reason=\""
                  << outcome.m_result.m_reason << "\"\n";
      }
    }
    std::printf("%-18s %5zu %6zu %6zu %6zu %8.2f%% %8.2f%%\n",
                std::string(testing::Name(kind)).c_str(),
                exposures.size(),
                done,
                takenBack,
                overexposed,
                100.0 * Quantile(exposures, 0.5),
                100.0 * Quantile(exposures, 1.0));
  }
}

/// Prints the event log of one move under the first policy.
int
Trace(const std::string& aKind, std::uint64_t aSeed)
{
  for (const ScenarioKind kind : testing::AllScenarioKinds()) {
    if (testing::Name(kind) != aKind) {
      continue;
    }
    const ScenarioOutcome outcome =
      testing::RunScenario(kind, aSeed, Candidates().front().m_make);
    for (const std::string& line : outcome.m_result.m_log) {
      std::cout << line << "\n";
    }
    return 0;
  }
  std::cerr << "experiment: unknown scenario kind \"" << aKind << "\"\n";
  return 2;
}

SettingsParser
MoveParser()
{
  SettingsParser parser("tarragontray-experiment-moves",
                        "Compares traffic shift policies on simulated moves.");
  parser.Add(IntegerSetting{ "first-seed",
                             "",
                             "The first seed of each scenario kind.",
                             0,
                             kMaxSeed,
                             1 });
  parser.Add(IntegerSetting{
    "seeds", "moves", "Moves per scenario kind.", 1, 10'000, 10 });
  parser.Add(SwitchSetting{
    "brief", "Runs moves that last seconds under the brief policy." });
  parser.Add(
    TextSetting{ "policy", "Runs only the policy with this name.", {}, "" });
  parser.Add(TextSetting{
    "trace",
    "Prints the event log of one move of this kind with the first seed.",
    {},
    "" });
  parser.Add(SwitchSetting{ "json", "Prints JSON instead of a table." });
  parser.Add(SwitchSetting{
    "verbose", "Prints each move with a wrong result to standard error." });
  return parser;
}

int
Run(const Settings& aSettings)
{
  const auto firstSeed =
    static_cast<std::uint64_t>(aSettings.Integer("first-seed"));
  const std::string& traced = aSettings.Text("trace");
  if (!traced.empty()) {
    return Trace(traced, firstSeed);
  }
  if (aSettings.IsOn("brief")) {
    RunBrief(firstSeed,
             static_cast<std::uint64_t>(aSettings.Integer("seeds")),
             aSettings.IsOn("verbose"));
    return 0;
  }
  std::vector<Summary> all;
  const std::string& only = aSettings.Text("policy");
  for (const Candidate& candidate : Candidates()) {
    if (!only.empty() && candidate.m_name != only) {
      continue;
    }
    const std::vector<Summary> rows =
      RunCandidate(candidate,
                   firstSeed,
                   static_cast<std::uint64_t>(aSettings.Integer("seeds")),
                   aSettings.IsOn("verbose"));
    all.insert(all.end(), rows.begin(), rows.end());
  }
  if (aSettings.IsOn("json")) {
    std::cout << boost::json::serialize(ToJson(all)) << "\n";
  } else {
    PrintTable(all);
  }
  return 0;
}

} // namespace
} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  using namespace tarragontray;
  const ParsedCommand command = MoveParser().Parse(aCount, aArguments);
  return command.m_exitStatus ? *command.m_exitStatus : Run(command.m_settings);
}
