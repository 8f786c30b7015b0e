/// \file
/// Reads the log files of several nodes and merges their lines by timestamp.
///
///     BOOST_OUTCOME_TRY(const auto lines, ReadLogs(paths));
///     for (const LogLine& line : lines) {
///       const auto id = FieldOf(line.m_text, "id");
///     }
///
/// Thread safety: any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/Result.h"

namespace tarragontray {

/// A line of a node's log.
struct LogLine
{
  /// UTC to the microsecond; sorts as text.
  std::string m_time;
  /// VM of the node, or the file's path if the VM is unknown; see ReadLogs().
  std::string m_node;
  /// The rest of the line after the timestamp, beginning with the severity.
  std::string m_text;
};

/// Reads the lines of all files and sorts them by timestamp. The node of a line
/// is the word before the timestamp; without such a word it is the VM in the
/// preceding "Node started." line, or else the file's path. Lines
/// without a timestamp are skipped. Errors: NotFound if a file can't be read.
Result<std::vector<LogLine>>
ReadLogs(const std::vector<std::string>& aPaths);

/// Returns the value of the field "aKey=", without quotation marks if it is
/// quoted, or nothing if the line has no such field.
std::optional<std::string>
FieldOf(const std::string& aLine, const std::string& aKey);

} // namespace tarragontray
