/// \file
/// A program of this project, started by a test and ended by its process id.
///
///     auto child = ChildProcess::Start("standin-platform", { "--help" });
///     child.value().WaitForReady();
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

/// See the file comment.
class ChildProcess
{
public:
  /// Starts a program from the build's folder ($TT_BIN_DIR). Its standard
  /// output is read by this object, its errors go to the test's.
  static Result<ChildProcess> Start(const std::string& aProgram,
                                    std::vector<std::string> aArguments);
  /// Kills the process when it still runs.
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;

  /// Waits for a line that begins with "ready". Errors: Timeout, Closed.
  Result<void> WaitForReady(Duration aLimit);
  /// Reads standard output to its end. Errors: Timeout.
  Result<std::string> ReadAll(Duration aLimit);
  void Signal(int aSignal) const;
  /// The exit status, or 128 and the signal's number; nothing at the limit.
  std::optional<int> WaitForExit(Duration aLimit);

private:
  ChildProcess(pid_t aPid, int aOutput, std::string aProgram);

  /// Reads what is there; false at the end or at the limit.
  bool ReadSome(Duration aLimit);

  pid_t m_pid = -1;
  int m_output = -1;
  std::string m_program;
  std::string m_text;
  bool m_isEnded = false;
};

} // namespace tarragontray
