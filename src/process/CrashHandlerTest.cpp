#include "process/CrashHandler.h"

#include <array>
#include <csignal>
#include <string>

#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tarragontray {

Test(CrashHandler, ACrashLeavesALineAndEndsTheProcessAsBefore)
{
  std::array<int, 2> pipe{};
  cr_assert_eq(::pipe(pipe.data()), 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(pipe[1], STDOUT_FILENO);
    InstallCrashHandler(LogOutput::StandardOutput);
    raise(SIGSEGV);
    _exit(0);
  }
  close(pipe[1]);
  std::string text;
  std::array<char, 256> part{};
  for (ssize_t got = 0; (got = read(pipe[0], part.data(), part.size())) > 0;) {
    text.append(part.data(), static_cast<std::size_t>(got));
  }
  close(pipe[0]);
  int status = 0;
  cr_assert_eq(waitpid(child, &status, 0), child);
  cr_assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGSEGV);
  cr_assert(text.starts_with("error node: Crashed. signal=11 program=0x"),
            "%s",
            text.c_str());
  cr_assert(text.find(" at=0x") != std::string::npos, "%s", text.c_str());
  cr_assert(text.ends_with("\n"));
}

} // namespace tarragontray
