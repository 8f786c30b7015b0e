#include "programs/testing/ChildProcess.h"

#include <csignal>
#include <cstdlib>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tarragontray {

namespace {

using SteadyClock = std::chrono::steady_clock;

std::string
PathOf(const std::string& aProgram)
{
  const char* folder = std::getenv("TT_BIN_DIR");
  return std::string(folder == nullptr ? "build/bin" : folder) + "/" + aProgram;
}

int
MillisecondsUntil(SteadyClock::time_point aTime)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime - SteadyClock::now());
  return left.count() > 0 ? static_cast<int>(left.count()) : 0;
}

/// Replaces the forked process with the program; does not return.
[[noreturn]] void
Execute(const std::string& aPath,
        std::vector<std::string>& aArguments,
        int aOut)
{
  std::vector<char*> arguments;
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  // The kernel kills the child when the test crashes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(aOut, STDOUT_FILENO);
  execv(aPath.c_str(), arguments.data());
  _exit(127);
}

Result<pid_t>
Spawn(const std::string& aPath, std::vector<std::string>& aArguments, int aOut)
{
  const pid_t pid = fork();
  if (pid < 0) {
    return Error(ErrorCode::Unavailable, "child.start", aPath, "fork failed");
  }
  if (pid == 0) {
    Execute(aPath, aArguments, aOut);
  }
  return pid;
}

} // namespace

Result<ChildProcess>
ChildProcess::Start(const std::string& aProgram,
                    std::vector<std::string> aArguments)
{
  std::string path = PathOf(aProgram);
  aArguments.insert(aArguments.begin(), path);
  int ends[2] = { -1, -1 };
  if (pipe2(ends, O_CLOEXEC) != 0) {
    return Error(ErrorCode::Unavailable, "child.pipe", path, "pipe2 failed");
  }
  const Result<pid_t> pid = Spawn(path, aArguments, ends[1]);
  close(ends[1]);
  if (!pid) {
    close(ends[0]);
    return pid.error();
  }
  return ChildProcess(pid.value(), ends[0], aProgram);
}

ChildProcess::ChildProcess(pid_t aPid, int aOutput, std::string aProgram)
  : m_pid(aPid)
  , m_output(aOutput)
  , m_program(std::move(aProgram))
{
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
{
  *this = std::move(aOther);
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  std::swap(m_pid, aOther.m_pid);
  std::swap(m_output, aOther.m_output);
  std::swap(m_program, aOther.m_program);
  std::swap(m_text, aOther.m_text);
  std::swap(m_isEnded, aOther.m_isEnded);
  return *this;
}

ChildProcess::~ChildProcess()
{
  if (m_pid > 0 && !m_isEnded) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
  if (m_output >= 0) {
    close(m_output);
  }
}

bool
ChildProcess::ReadSome(Duration aLimit)
{
  pollfd waiting{ m_output, POLLIN, 0 };
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLimit).count();
  if (poll(&waiting, 1, static_cast<int>(milliseconds)) <= 0) {
    return false;
  }
  char buffer[4096];
  const ssize_t size = read(m_output, buffer, sizeof buffer);
  if (size <= 0) {
    return false;
  }
  m_text.append(buffer, static_cast<std::size_t>(size));
  return true;
}

Result<void>
ChildProcess::WaitForReady(Duration aLimit)
{
  const auto end = SteadyClock::now() + aLimit;
  while (m_text.find("ready") == std::string::npos) {
    const int left = MillisecondsUntil(end);
    if (!ReadSome(std::chrono::milliseconds(left))) {
      return Error(left == 0 ? ErrorCode::Timeout : ErrorCode::Closed,
                   "child.ready",
                   m_program,
                   "no \"ready\" in the output");
    }
  }
  return Success();
}

Result<std::string>
ChildProcess::ReadAll(Duration aLimit)
{
  const auto end = SteadyClock::now() + aLimit;
  while (ReadSome(std::chrono::milliseconds(MillisecondsUntil(end)))) {
  }
  if (MillisecondsUntil(end) == 0) {
    return Error(ErrorCode::Timeout,
                 "child.read",
                 m_program,
                 "output still open at the time limit");
  }
  return m_text;
}

void
ChildProcess::Signal(int aSignal) const
{
  if (m_pid > 0 && !m_isEnded) {
    kill(m_pid, aSignal);
  }
}

std::optional<int>
ChildProcess::WaitForExit(Duration aLimit)
{
  // The pipe closes when the process exits, so that waiting for its end needs
  // no polling.
  const auto end = SteadyClock::now() + aLimit;
  while (ReadSome(std::chrono::milliseconds(MillisecondsUntil(end)))) {
  }
  int status = 0;
  if (MillisecondsUntil(end) == 0 && waitpid(m_pid, &status, WNOHANG) == 0) {
    return std::nullopt;
  }
  if (!m_isEnded) {
    waitpid(m_pid, &status, 0);
    m_isEnded = true;
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace tarragontray
