/// \file
/// tarragontray-node: the mesh node, which runs as one process on each VM.

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
