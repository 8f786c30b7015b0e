#include "process/NodeProgram.h"

#include <csignal>
#include <cstdio>
#include <utility>

#include "process/CrashHandler.h"
#include "process/Node.h"

namespace tarragontray {

namespace {

/// Blocks the signals that the program waits for, in this thread and those
/// that it starts.
sigset_t
BlockSignals(bool aHasReload)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  if (aHasReload) {
    sigaddset(&signals, SIGHUP);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
WaitForStop(const sigset_t& aSignals, const std::function<bool()>& aOnReload)
{
  int signal = 0;
  while (sigwait(&aSignals, &signal) == 0 && signal == SIGHUP) {
    const bool isGood = aOnReload();
    Log(LogLevel::Info,
        "node",
        "Settings read again.",
        { { "result", isGood ? "good" : "refused" } });
  }
}

} // namespace

int
RunNodeProgram(const NodeSettings& aSettings,
               NodeDialects aDialects,
               const NodeProgramOptions& aOptions)
{
  InstallCrashHandler(aOptions.m_logOutput);
  // Before the first thread, the log's: a signal that comes while the main
  // thread drains would end the process through any thread that takes it.
  const sigset_t signals = BlockSignals(static_cast<bool>(aOptions.m_onReload));
  StartLog(LogLevelOf(aSettings.m_logLevel), aOptions.m_logOutput);
  const SystemClock clock;
  const auto node = Node::Create(aSettings, std::move(aDialects), clock);
  if (!node) {
    Log(LogLevel::Error, "node", "Node not started.", node.error());
    StopLog();
    return 1;
  }
  if (aOptions.m_printsReady) {
    std::printf("ready %s\n", aSettings.m_vm.Value().c_str());
    std::fflush(stdout);
  }
  WaitForStop(signals, aOptions.m_onReload);
  const bool isClean = node.value()->Drain();
  Log(LogLevel::Info,
      "node",
      "Node stopped.",
      { { "in_flight", isClean ? "none" : "some" } });
  StopLog();
  return isClean ? 0 : 1;
}

} // namespace tarragontray
