// standin-platform: the object API in memory, for demos and tests.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "programs/ProgramOptions.h"
#include "programs/StandinPlatform.h"

namespace tarragontray {

namespace {

void
AddOptions(ProgramOptions& aOptions)
{
  constexpr std::int64_t kMaxRate = 1'000'000;
  constexpr std::int64_t kMaxMs = 600'000;
  aOptions.AddAddress("listen", "object API", "127.0.0.1:7000");
  aOptions.AddAddress("admin", "admin port: faults, counts", "127.0.0.1:7001");
  aOptions.AddNumber("reads-per-second",
                     "limit of reads, lists and watches; 0: none",
                     { "calls/s", 0, kMaxRate, 0 });
  aOptions.AddNumber("writes-per-second",
                     "limit of writes; 0: none",
                     { "calls/s", 0, kMaxRate, 0 });
  aOptions.AddNumber(
    "slow-ms", "added to each short call", { "ms", 0, kMaxMs, 0 });
}

StandinPlatformSettings
ReadSettings(const ProgramOptions& aOptions)
{
  StandinPlatformSettings settings;
  settings.m_address = aOptions.Address("listen");
  settings.m_adminAddress = aOptions.Address("admin");
  settings.m_faults.m_slowness = aOptions.Milliseconds("slow-ms");
  settings.m_faults.m_readsPerSecond =
    static_cast<std::uint32_t>(aOptions.Number("reads-per-second"));
  settings.m_faults.m_writesPerSecond =
    static_cast<std::uint32_t>(aOptions.Number("writes-per-second"));
  return settings;
}

int
Run(int aCount, char** aArguments)
{
  ProgramOptions options("standin-platform",
                         "A stand-in for the platform's object API.");
  AddOptions(options);
  if (const auto status = options.Parse(aCount, aArguments)) {
    return *status;
  }
  boost::asio::io_context context;
  const SystemClock clock;
  const auto platform =
    StandinPlatform::Create(context, clock, ReadSettings(options));
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
