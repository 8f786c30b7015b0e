/// \file
/// Text for operators: tables, JSON with line breaks, times.
///
///     TextTable table({ "VM", "STATE" });
///     table.Add({ "addis-1-1", "alive" });
///     std::string text = table.ToString();
///
/// Thread safety: pure functions and one thread for each table.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"
#include "base/Units.h"
#include "version/JsonDifference.h"

namespace tarragontray {

/// Rows under a head, in columns as wide as their widest cell.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHead) { Add(std::move(aHead)); }
  /// Precondition: as many cells as the head has.
  void Add(std::vector<std::string> aRow) { m_rows.push_back(std::move(aRow)); }
  std::string ToString() const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

/// JSON with one field a line. Precondition: aText is JSON.
std::string
IndentedJson(std::string_view aText);

/// Reads a UTC time, or "+30s", "+10m" or "+2h" after aNow.
/// Errors: InvalidArgument with aFlag.
Result<WallTime>
ReadTime(std::string_view aFlag, const std::string& aText, WallTime aNow);

/// The whole of a file. Errors: InvalidArgument, TooLarge.
Result<std::string>
ReadFile(const std::string& aPath);

/// One line each: path, before, after.
std::string
TextOf(const std::vector<FieldDifference>& aDifferences);

/// A JSON list of objects with path, before and after.
std::string
JsonOf(const std::vector<FieldDifference>& aDifferences);

/// An object with code, step, peer and detail.
std::string
JsonOf(const Error& aError);

/// Whether standard error is a terminal, for progress.
bool
IsTerminal();

/// Draws one line over the former one.
void
DrawProgress(const std::string& aLine);

} // namespace tarragontray
