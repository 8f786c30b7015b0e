/// \file
/// Reports crashes of the process in a single log line.
///
///     InstallCrashHandler(LogOutput::StandardError);
///
/// On a fatal signal the handler writes
///
///     error node: Crashed. signal=11 program=0x555555554000 at=0x3c9f2,0x4411
///
/// and then lets the signal's default action end the process. `at` lists the
/// code addresses within the program, relative to its load address and
/// innermost first, as `addr2line -Cfie PROGRAM` expects them. Addresses in
/// shared libraries are omitted.
///
/// Thread safety: call once, before other threads start.
#pragma once

#include "process/Log.h"

namespace tarragontray {

/// Installs the handler for SIGSEGV, SIGILL, SIGBUS, SIGFPE and SIGABRT; it
/// writes to aOutput.
void
InstallCrashHandler(LogOutput aOutput);

} // namespace tarragontray
