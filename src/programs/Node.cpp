/// \file
/// tarragontray-node: the one process in each VM's slot.

#include "process/NodeProgram.h"

int
main(int aCount, char** aArguments)
{
  using namespace tarragontray;
  const ParsedCommand command = NodeSettingsParser().Parse(aCount, aArguments);
  if (command.m_exitStatus) {
    return *command.m_exitStatus;
  }
  NodeProgramOptions options;
  options.m_printsReady = true;
  return RunNodeProgram(
    ReadNodeSettings(command.m_settings), NativeDialects(), options);
}
