/// \file
/// tarragontray-node: the one process in each VM's slot.

#include "process/Node.h"

#include <csignal>
#include <cstdio>

#include "process/Log.h"
#include "process/NodeSettings.h"

namespace {

/// Blocks the stop signals in this thread and those it starts.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  using namespace tarragontray;
  const ParsedCommand command = NodeSettingsParser().Parse(aCount, aArguments);
  if (command.m_exitStatus) {
    return *command.m_exitStatus;
  }
  const NodeSettings settings = ReadNodeSettings(command.m_settings);
  StartLog(LogLevelOf(settings.m_logLevel));
  const sigset_t signals = BlockStopSignals();
  const SystemClock clock;
  const auto node = Node::Create(settings, OwnDialects(), clock);
  if (!node) {
    Log(LogLevel::Error, "node", "Node not started.", node.error());
    StopLog();
    return 1;
  }
  std::printf("ready %s\n", settings.m_vm.Value().c_str());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  const bool isClean = node.value()->Drain();
  Log(LogLevel::Info,
      "node",
      "Node stopped.",
      { { "in_flight", isClean ? "none" : "some" } });
  StopLog();
  return isClean ? 0 : 1;
}
