// tarragontray-load: an open-loop load generator that verifies every response.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "process/Settings.h"
#include "programs/LoadRunner.h"
#include "programs/TextFile.h"

namespace tarragontray {

namespace {

/// The exit status if a response was wrong or the audit found a violation.
constexpr int kExitViolation = 1;
constexpr std::int64_t kMaxRate = 1'000'000;
constexpr std::int64_t kMaxMs = 86'400'000;
constexpr std::int64_t kMaxCalls = 10'000'000;

SettingsParser
MakeParser()
{
  SettingsParser parser(
    "tarragontray-load",
    "Open-loop load generator that verifies every response.");
  parser.Add(AddressSetting{
    "nodes",
    "Front addresses of nodes; with --direct, addresses of upstreams.",
    true });
  parser.Add(AddressSetting{
    "logs",
    "Admin addresses of standin-upstream to read execution logs from.",
    true,
    false });
  parser.Add(TextSetting{ "saved-logs",
                          "Execution logs written by standin-upstream "
                          "--log-file, separated by commas.",
                          {},
                          "" });
  parser.Add(TextSetting{
    "mix", "JSON file with the kinds of calls.", {}, std::nullopt });
  parser.Add(
    SwitchSetting{ "direct", "Call upstreams directly, without nodes." });
  parser.Add(IntegerSetting{
    "rate", "calls/s", "Mean arrival rate.", 1, kMaxRate, 100 });
  parser.Add(IntegerSetting{ "duration-ms",
                             "ms",
                             "Time during which calls arrive.",
                             1,
                             kMaxMs,
                             10'000 });
  parser.Add(IntegerSetting{ "max-calls",
                             "calls",
                             "Maximum number of calls.",
                             1,
                             kMaxCalls,
                             kMaxCalls });
  parser.Add(IntegerSetting{ "max-connections",
                             "",
                             "Maximum number of connections to one address.",
                             1,
                             10'000,
                             256 });
  parser.Add(
    IntegerSetting{ "repeats",
                    "",
                    "Retries of an operation after a lost or unknown answer.",
                    0,
                    10,
                    0 });
  parser.Add(IntegerSetting{ "seed",
                             "",
                             "Seed of the arrivals and of the choice of nodes.",
                             0,
                             INT64_MAX,
                             1 });
  parser.Add(TextSetting{ "run", "Prefix of the operation ids.", {}, "load" });
  parser.Add(TextSetting{
    "output", "Format of the report.", { "text", "json" }, "text" });
  return parser;
}

std::vector<std::string>
SplitByComma(const std::string& aText)
{
  std::vector<std::string> parts;
  std::stringstream text(aText);
  for (std::string part; std::getline(text, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

LoadSettings
ReadSettings(const Settings& aSettings, std::vector<CallKind> aMix)
{
  LoadSettings settings;
  settings.m_mix = std::move(aMix);
  settings.m_nodes = aSettings.Addresses("nodes");
  settings.m_logs = aSettings.Addresses("logs");
  settings.m_savedLogs = SplitByComma(aSettings.Text("saved-logs"));
  settings.m_isDirect = aSettings.IsOn("direct");
  settings.m_callsPerSecond = static_cast<double>(aSettings.Integer("rate"));
  settings.m_duration = aSettings.Milliseconds("duration-ms");
  settings.m_maxCalls =
    static_cast<std::uint64_t>(aSettings.Integer("max-calls"));
  settings.m_maxConnections =
    static_cast<std::size_t>(aSettings.Integer("max-connections"));
  settings.m_maxRepeats =
    static_cast<std::uint32_t>(aSettings.Integer("repeats"));
  settings.m_seed = static_cast<std::uint64_t>(aSettings.Integer("seed"));
  settings.m_run = aSettings.Text("run");
  return settings;
}

int
Run(int aCount, char** aArguments)
{
  const ParsedCommand parsed = MakeParser().Parse(aCount, aArguments);
  if (parsed.m_exitStatus) {
    return *parsed.m_exitStatus;
  }
  const auto text = ReadWholeFile(parsed.m_settings.Text("mix"));
  auto mix = text ? DecodeMix(*text) : std::nullopt;
  if (!mix) {
    std::cerr
      << "tarragontray-load: --mix is '" << parsed.m_settings.Text("mix")
      << "'; allowed: a readable file with a JSON list of kinds of calls\n";
    return kExitRefused;
  }
  boost::asio::io_context context;
  LoadRunner runner(context, ReadSettings(parsed.m_settings, std::move(*mix)));
  runner.Start([&context]() { context.stop(); });
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&runner](const boost::system::error_code& aError, int) {
    if (!aError) {
      runner.Stop();
    }
  });
  context.run();
  const bool isJson = parsed.m_settings.Text("output") == "json";
  std::cout << (isJson ? runner.Report().Json() : runner.Report().Text());
  return runner.Report().IsClean() ? EXIT_SUCCESS : kExitViolation;
}

} // namespace

} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  return tarragontray::Run(aCount, aArguments);
}
