// standin-upstream: simulated upstream with faults, for demos and tests.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "process/Settings.h"
#include "programs/StandinUpstream.h"
#include "programs/TextFile.h"

namespace tarragontray {

namespace {

constexpr std::int64_t kMaxMs = 600'000;
constexpr std::int64_t kMaxUs = 60'000'000;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxPercent = 100'000;
constexpr std::int64_t kMaxBytes = 1 << 20;

void
AddIdentity(SettingsParser& aParser)
{
  aParser.Add(AddressSetting{ "listen", "Listening address for calls." });
  aParser.Add(AddressSetting{
    "admin", "Listening address of /executions, /faults and /drain." });
  aParser.Add(AddressSetting{
    "node",
    "Admin address of the VM's node; without it no announcements.",
    false,
    false });
  aParser.Add(TextSetting{ "vm", "Name of this VM.", {}, std::nullopt });
  aParser.Add(TextSetting{
    "account", "Client account that owns the service.", {}, std::nullopt });
  aParser.Add(
    TextSetting{ "service", "Name of the service.", {}, std::nullopt });
  aParser.Add(TextSetting{
    "upstream-version", "Version of this upstream.", {}, std::nullopt });
}

void
AddBehaviour(SettingsParser& aParser)
{
  aParser.Add(IntegerSetting{ "slots",
                              "calls",
                              "Largest number of concurrent calls.",
                              1,
                              kMaxSlots,
                              12 });
  aParser.Add(IntegerSetting{
    "service-us", "us", "Mean service time.", 0, kMaxUs, 5'000 });
  aParser.Add(IntegerSetting{ "cold-ms",
                              "ms",
                              "Duration of the cold phase after the start.",
                              0,
                              kMaxMs,
                              0 });
  aParser.Add(
    IntegerSetting{ "cold-percent",
                    "%",
                    "Service time in the cold phase, relative to normal.",
                    100,
                    kMaxPercent,
                    500 });
  aParser.Add(IntegerSetting{
    "answer-bytes", "B", "Default filler of an answer.", 0, kMaxBytes, 256 });
  aParser.Add(
    IntegerSetting{ "linger-ms",
                    "ms",
                    "Least time from the start of a drain to the exit.",
                    0,
                    kMaxMs,
                    1'000 });
  aParser.Add(IntegerSetting{
    "seed", "", "Seed of service times and faults.", 0, INT64_MAX, 1 });
  aParser.Add(
    TextSetting{ "log-file",
                 "File for the execution log at exit; empty: not saved.",
                 {},
                 "" });
  aParser.Add(TextSetting{
    "faults", "Fault rules as JSON, as for POST /faults.", {}, "[]" });
}

/// \param aRules the rules decoded from the `faults` setting.
StandinUpstreamSettings
ReadSettings(const Settings& aSettings, std::vector<FaultRule> aRules)
{
  StandinUpstreamSettings settings;
  settings.m_vm = VmId(aSettings.Text("vm"));
  settings.m_account = ClientAccountId(aSettings.Text("account"));
  settings.m_service = ServiceName(aSettings.Text("service"));
  settings.m_version = UpstreamVersion(aSettings.Text("upstream-version"));
  settings.m_address = aSettings.Address("listen");
  settings.m_adminAddress = aSettings.Address("admin");
  settings.m_nodeAddress = aSettings.Address("node");
  settings.m_behaviour.m_slots =
    SlotCount(static_cast<std::uint32_t>(aSettings.Integer("slots")));
  settings.m_behaviour.m_serviceTime =
    std::chrono::microseconds(aSettings.Integer("service-us"));
  settings.m_behaviour.m_coldTime = aSettings.Milliseconds("cold-ms");
  settings.m_behaviour.m_coldFactor =
    static_cast<double>(aSettings.Integer("cold-percent")) / 100;
  settings.m_behaviour.m_seed =
    static_cast<std::uint64_t>(aSettings.Integer("seed"));
  settings.m_answerBytes =
    static_cast<std::size_t>(aSettings.Integer("answer-bytes"));
  settings.m_lingerTime = aSettings.Milliseconds("linger-ms");
  settings.m_rules = std::move(aRules);
  return settings;
}

int
Serve(const StandinUpstreamSettings& aSettings, const std::string& aLogFile)
{
  boost::asio::io_context context;
  const SystemClock clock;
  const auto upstream = StandinUpstream::Create(context, clock, aSettings);
  if (!upstream) {
    std::cerr << "standin-upstream: " << upstream.error().Message() << "\n";
    return EXIT_FAILURE;
  }
  const auto stop = [&context]() { context.stop(); };
  upstream.value()->OnDrained(stop);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&upstream, stop](const boost::system::error_code&, int) {
    upstream.value()->Drain(stop);
  });
  std::cout << "standin-upstream: ready listen="
            << upstream.value()->Address().ToString()
            << " admin=" << upstream.value()->AdminAddress().ToString()
            << std::endl;
  context.run();
  const bool isSaved =
    aLogFile.empty() ||
    WriteWholeFile(aLogFile,
                   EncodeExecutions(aSettings.m_vm,
                                    aSettings.m_version,
                                    upstream.value()->Log()));
  return isSaved ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
Run(int aCount, char** aArguments)
{
  SettingsParser parser("standin-upstream",
                        "A simulated upstream for demos and tests.");
  AddIdentity(parser);
  AddBehaviour(parser);
  const ParsedCommand parsed = parser.Parse(aCount, aArguments);
  if (parsed.m_exitStatus) {
    return *parsed.m_exitStatus;
  }
  const std::string& text = parsed.m_settings.Text("faults");
  auto rules = DecodeFaultRules(text);
  if (!rules) {
    std::cerr << "standin-upstream: --faults is '" << text
              << "'; allowed: a JSON list of fault rules\n";
    return kExitRefused;
  }
  return Serve(ReadSettings(parsed.m_settings, std::move(*rules)),
               parsed.m_settings.Text("log-file"));
}

} // namespace

} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  return tarragontray::Run(aCount, aArguments);
}
