/// \file
/// Structured logging: each line has a level, a component, a short constant
/// sentence and key=value fields.
///
///     Log(LogLevel::Warning, "member", "Peer failed.",
///         { { "vm", vm.Value() }, { "after_ms", "1500" } });
///
/// prints
///
///     2026-12-04T07:40:00.123 warning member: Peer failed. vm=a after_ms=1500
///
/// All lines are listed in docs/LOGS.md.
///
/// Thread safety: any thread.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Units.h"

namespace tarragontray {

/// Severity of a line, in ascending order.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// A key=value field of a line. Values are quoted where necessary.
struct LogField
{
  std::string_view m_key;
  std::string m_value;
};

/// Where log lines are written.
enum class LogOutput : std::uint8_t
{
  StandardOutput,
  StandardError,
};

/// Formats a duration as whole milliseconds, for fields that end in `_ms`.
std::string
Milliseconds(Duration aTime);

/// Starts logging lines of at least aLevel to aOutput. Call once, at start-up.
/// A separate thread writes the lines; when its queue is full, further lines
/// are dropped and counted.
void
StartLog(LogLevel aLevel, LogOutput aOutput = LogOutput::StandardError);

/// Writes all queued lines and ends the writing thread.
void
StopLog();

/// Whether lines of this level are written. Check it before computing expensive
/// fields.
bool
IsLogged(LogLevel aLevel);

/// Number of lines dropped since the start of the process.
std::uint64_t
DroppedLogLines();

/// Returns the level named "debug", "info", "warning" or "error"; Info for any
/// other name.
LogLevel
LogLevelOf(std::string_view aName);

/// Logs one line. \param aPart the component, such as "member".
void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aSentence,
    std::initializer_list<LogField> aFields = {});

/// Logs one line for an error, with its code, step, peer and detail as fields.
void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aSentence,
    const Error& aError);

} // namespace tarragontray
