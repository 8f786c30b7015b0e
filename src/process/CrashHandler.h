/// \file
/// The last line of a process that crashes.
///
///     InstallCrashHandler(LogOutput::StandardError);
///
/// A fatal signal then writes
///
///     error node: Crashed. signal=11 program=0x555555554000 at=0x3c9f2,0x4411
///
/// and ends the process as it would have without. The addresses of `at` lie
/// within the program, the innermost first, for `addr2line -Cfie PROGRAM`;
/// those of libraries are left out.
///
/// Thread safety: once, before other threads start.
#pragma once

#include "process/Log.h"

namespace tarragontray {

void
InstallCrashHandler(LogOutput aOutput);

} // namespace tarragontray
