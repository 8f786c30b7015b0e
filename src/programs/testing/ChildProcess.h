/// \file
/// A program of this project as a child process of a test.
///
///     auto child = ChildProcess::Start("standin-platform", {});
///     child.value().WaitForReady(limit);
///     child.value().Signal(SIGTERM);
///     int status = child.value().WaitForExit(limit);
///
/// Thread safety: one thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// A running or ended child process; see the file comment.
class ChildProcess
{
public:
  /// Starts a program from the directory $TT_BIN_DIR, or build/bin if it is not
  /// set. The object reads the program's standard output; standard error is
  /// that of the test. Errors: Unavailable.
  static Result<ChildProcess> Start(const std::string& aProgram,
                                    std::vector<std::string> aArguments);
  /// Kills the process with SIGKILL if it has not been waited for.
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /// Waits until the output contains "ready". Errors: Timeout, Closed.
  Result<void> WaitForReady(Duration aLimit);
  /// Reads standard output until it is closed and returns all of it. Errors:
  /// Timeout.
  Result<std::string> ReadAll(Duration aLimit);
  /// Sends a signal, unless WaitForExit() has returned a status.
  void Signal(int aSignal) const;
  /// Returns the exit status, or 128 plus the signal number if a signal ended
  /// the process; nothing if it has not ended within aLimit.
  std::optional<int> WaitForExit(Duration aLimit);
  pid_t Pid() const { return m_pid; }

private:
  ChildProcess(pid_t aPid, int aOutput, std::string aProgram);

  /// Waits for output and appends it to m_text. Returns false at the end of the
  /// output or after aLimit.
  bool ReadSome(Duration aLimit);

  pid_t m_pid = -1;
  int m_output = -1;
  std::string m_program;
  std::string m_text;
  bool m_isEnded = false;
};

} // namespace tarragontray
