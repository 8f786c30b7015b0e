/// \file
/// The life of a node's process: log, signals, start, stop.
///
///     return RunNodeProgram(settings, NativeDialects(), { .m_onReload = ...
///     });
///
/// Thread safety: the main thread, once.
#pragma once

#include <functional>

#include "process/Log.h"
#include "process/NodeDialects.h"
#include "process/NodeSettings.h"

namespace tarragontray {

struct NodeProgramOptions
{
  LogOutput m_logOutput = LogOutput::StandardError;
  /// Checks the settings again at SIGHUP; true when they are good. Not set:
  /// SIGHUP ends the process.
  std::function<bool()> m_onReload;
  /// Says "ready NAME" on standard output once the node listens.
  bool m_printsReady = false;
};

/// Runs a node until SIGTERM or SIGINT. \return the exit status.
int
RunNodeProgram(const NodeSettings& aSettings,
               NodeDialects aDialects,
               const NodeProgramOptions& aOptions);

} // namespace tarragontray
