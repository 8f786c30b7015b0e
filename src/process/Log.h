/// \file
/// Structured logs: short sentences with a fixed prefix for each part.
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

/// How much a line matters.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// A key=value field.
struct LogField
{
  std::string_view m_key;
  std::string m_value;
};

enum class LogOutput : std::uint8_t
{
  StandardOutput,
  StandardError,
};

/// Whole milliseconds, as fields give times.
std::string
Milliseconds(Duration aTime);

/// Sends logs to aOutput from aLevel on. Call once, at the start. A thread of
/// its own writes; lines that come faster than that are dropped and counted.
void
StartLog(LogLevel aLevel, LogOutput aOutput = LogOutput::StandardError);

/// Writes what waits and ends the log's thread.
void
StopLog();

/// Whether lines of this level are written; check before costly fields.
bool
IsLogged(LogLevel aLevel);

/// Lines dropped since the start.
std::uint64_t
DroppedLogLines();

/// The level of a name: debug, info, warning or error; Info for others.
LogLevel
LogLevelOf(std::string_view aName);

/// Writes one line.
void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aSentence,
    std::initializer_list<LogField> aFields = {});

/// Writes one line for an error, with its step, peer and detail.
void
Log(LogLevel aLevel,
    std::string_view aPart,
    std::string_view aSentence,
    const Error& aError);

} // namespace tarragontray
