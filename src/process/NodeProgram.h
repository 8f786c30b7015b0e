/// \file
/// Runs a node as a process: sets up the log and the signals, starts the node
/// and shuts it down gracefully.
///
///     return RunNodeProgram(settings, NativeDialects(), { .m_onReload = ...
///     });
///
/// Thread safety: call once, on the main thread.
#pragma once

#include <functional>

#include "process/Log.h"
#include "process/NodeDialects.h"
#include "process/NodeSettings.h"

namespace tarragontray {

/// Options of the process, apart from the node's settings.
struct NodeProgramOptions
{
  LogOutput m_logOutput = LogOutput::StandardError;
  /// Called on SIGHUP: checks the settings again and returns whether they are
  /// valid. The result is only logged. When not set, SIGHUP ends the process.
  std::function<bool()> m_onReload;
  /// Whether to print "ready VM" to standard output once the node listens.
  bool m_printsReady = false;
};

/// Runs a node until SIGTERM or SIGINT. \return the exit status: 0 after a
/// clean shutdown, 1 when the node failed to start or calls were still in
/// flight at the drain limit.
int
RunNodeProgram(const NodeSettings& aSettings,
               NodeDialects aDialects,
               const NodeProgramOptions& aOptions);

} // namespace tarragontray
