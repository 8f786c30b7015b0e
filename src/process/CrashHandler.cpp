#include "process/CrashHandler.h"

#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <span>
#include <string_view>

#include <execinfo.h>
#include <link.h>
#include <unistd.h>

namespace tarragontray {

namespace {

constexpr std::array kFatalSignals{ SIGSEGV, SIGILL, SIGBUS, SIGFPE, SIGABRT };
constexpr int kMaxFrames = 32;

/// Where the program's own code lies in memory.
struct ProgramRange
{
  std::uintptr_t m_base = 0;
  std::uintptr_t m_end = 0;

  bool Contains(std::uintptr_t aAddress) const
  {
    return aAddress >= m_base && aAddress < m_end;
  }
};

// Read by the handler, which gets no argument of ours.
ProgramRange g_program;
int g_output = STDERR_FILENO;

/// Text in a fixed buffer: a handler must not allocate.
class FixedText
{
public:
  void Add(std::string_view aText)
  {
    for (const char character : aText) {
      if (m_size < m_text.size()) {
        m_text[m_size++] = character;
      }
    }
  }
  void AddNumber(std::uintptr_t aNumber, int aBase)
  {
    std::array<char, 20> digits{};
    const auto end = std::to_chars(
      digits.data(), digits.data() + digits.size(), aNumber, aBase);
    Add({ digits.data(), end.ptr });
  }
  /// False when the descriptor took less.
  bool Write(int aDescriptor) const
  {
    return write(aDescriptor, m_text.data(), m_size) ==
           static_cast<ssize_t>(m_size);
  }

private:
  std::array<char, 512> m_text{};
  std::size_t m_size = 0;
};

int
RecordProgramRange(dl_phdr_info* aInfo,
                   std::size_t /*aSize*/,
                   void* /*aNothing*/)
{
  g_program.m_base = aInfo->dlpi_addr;
  for (const ElfW(Phdr) & part :
       std::span(aInfo->dlpi_phdr, aInfo->dlpi_phnum)) {
    if (part.p_type == PT_LOAD) {
      g_program.m_end = aInfo->dlpi_addr + part.p_vaddr + part.p_memsz;
    }
  }
  // The first object is the program itself.
  return 1;
}

void
WriteCrash(int aSignal)
{
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  FixedText line;
  line.Add("error node: Crashed. signal=");
  line.AddNumber(static_cast<std::uintptr_t>(aSignal), 10);
  line.Add(" program=0x");
  line.AddNumber(g_program.m_base, 16);
  line.Add(" at=");
  std::string_view separator = "0x";
  for (const void* frame :
       std::span(frames).first(static_cast<std::size_t>(count))) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto address = reinterpret_cast<std::uintptr_t>(frame);
    if (g_program.Contains(address)) {
      line.Add(separator);
      line.AddNumber(address - g_program.m_base, 16);
      separator = ",0x";
    }
  }
  line.Add("\n");
  // The process ends either way: a failed write has nowhere to be told.
  static_cast<void>(line.Write(g_output));
}

void
OnFatalSignal(int aSignal)
{
  WriteCrash(aSignal);
  // SA_RESETHAND has restored the default action.
  static_cast<void>(raise(aSignal));
}

} // namespace

void
InstallCrashHandler(LogOutput aOutput)
{
  g_output =
    aOutput == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  dl_iterate_phdr(RecordProgramRange, nullptr);
  // The first call loads a library, which a handler must not.
  std::array<void*, 1> frame{};
  static_cast<void>(backtrace(frame.data(), 1));
  struct sigaction action = {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = SA_RESETHAND;
  for (const int fatal : kFatalSignals) {
    sigaction(fatal, &action, nullptr);
  }
}

} // namespace tarragontray
