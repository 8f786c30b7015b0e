/// \file
/// Formatting of the output for operators (tables, indented JSON, differences,
/// errors, progress) and reading of files and times from the command line.
///
///     TextTable table({ "VM", "STATE" });
///     table.Add({ "addis-1-1", "alive" });
///     std::string text = table.ToString();
///
/// Thread safety: one thread for each table; DrawProgress: one thread; the
/// other functions: any thread.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"
#include "base/Units.h"
#include "version/JsonDifference.h"

namespace tarragontray {

/// A table with a header row. Each column is as wide as its widest cell.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHead) { Add(std::move(aHead)); }
  /// Precondition: aRow has as many cells as the header.
  void Add(std::vector<std::string> aRow) { m_rows.push_back(std::move(aRow)); }
  std::string ToString() const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

/// Formats JSON with one field or element per line. Precondition: aText is
/// valid JSON.
std::string
IndentedJson(std::string_view aText);

/// Parses a UTC time, or an offset from aNow: "+30s", "+10m" or "+2h".
/// Errors: InvalidArgument, whose detail names aFlag.
Result<WallTime>
ReadTime(std::string_view aFlag, const std::string& aText, WallTime aNow);

/// Reads a file. Errors: InvalidArgument when it cannot be opened; TooLarge for
/// more than 1 MiB.
Result<std::string>
ReadFile(const std::string& aPath);

/// Formats each difference as one line: path, before, after.
std::string
TextOf(const std::vector<FieldDifference>& aDifferences);

/// Formats the differences as a JSON array of objects with path, before and
/// after.
std::string
JsonOf(const std::vector<FieldDifference>& aDifferences);

/// Formats an error as a JSON object with result, code, step, peer and detail.
std::string
JsonOf(const Error& aError);

/// Whether standard error is a terminal. Progress is shown only there.
bool
IsTerminal();

/// Replaces the current line of standard error by aLine, when standard error
/// is a terminal.
void
DrawProgress(const std::string& aLine);

} // namespace tarragontray
