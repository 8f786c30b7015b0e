// standin-platform: in-memory object API for demos and tests.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "process/Settings.h"
#include "programs/StandinPlatform.h"

namespace tarragontray {

namespace {

SettingsParser
MakeParser()
{
  constexpr std::int64_t kMaxRate = 1'000'000;
  constexpr std::int64_t kMaxMs = 600'000;
  SettingsParser parser("standin-platform",
                        "An in-memory stand-in for the platform's object API.");
  parser.Add(
    AddressSetting{ "listen", "Listening address of the object API." });
  parser.Add(
    AddressSetting{ "admin", "Listening address of /faults and /counts." });
  parser.Add(IntegerSetting{ "reads-per-second",
                             "calls/s",
                             "Limit of reads, lists and watches; 0: no limit.",
                             0,
                             kMaxRate,
                             0 });
  parser.Add(IntegerSetting{ "writes-per-second",
                             "calls/s",
                             "Limit of writes; 0: no limit.",
                             0,
                             kMaxRate,
                             0 });
  parser.Add(IntegerSetting{
    "slow-ms", "ms", "Delay before each call is served.", 0, kMaxMs, 0 });
  return parser;
}

StandinPlatformSettings
ReadSettings(const Settings& aSettings)
{
  StandinPlatformSettings settings;
  settings.m_address = aSettings.Address("listen");
  settings.m_adminAddress = aSettings.Address("admin");
  settings.m_faults.m_slowness = aSettings.Milliseconds("slow-ms");
  settings.m_faults.m_readsPerSecond =
    static_cast<std::uint32_t>(aSettings.Integer("reads-per-second"));
  settings.m_faults.m_writesPerSecond =
    static_cast<std::uint32_t>(aSettings.Integer("writes-per-second"));
  return settings;
}

int
Run(int aCount, char** aArguments)
{
  const ParsedCommand parsed = MakeParser().Parse(aCount, aArguments);
  if (parsed.m_exitStatus) {
    return *parsed.m_exitStatus;
  }
  boost::asio::io_context context;
  const SystemClock clock;
  const auto platform =
    StandinPlatform::Create(context, clock, ReadSettings(parsed.m_settings));
  if (!platform) {
    std::cerr << "standin-platform: " << platform.error().Message() << "\n";
    return EXIT_FAILURE;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&context](const boost::system::error_code&, int) { context.stop(); });
  std::cout << "standin-platform: ready listen="
            << platform.value()->Address().ToString()
            << " admin=" << platform.value()->AdminAddress().ToString()
            << std::endl;
  context.run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace tarragontray

int
main(int aCount, char** aArguments)
{
  return tarragontray::Run(aCount, aArguments);
}
