#include "programs/CtlFormat.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <optional>

#include <boost/json.hpp>
#include <unistd.h>

#include "base/TimeText.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxFileBytes = 1'048'576;

void
Indent(const json::value& aValue, std::size_t aDepth, std::string& aText);

std::string
FormatNumber(double aNumber)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", aNumber);
  return text;
}

void
IndentObject(const json::object& aObject,
             std::size_t aDepth,
             std::string& aText)
{
  std::string separator = "{\n";
  for (const json::key_value_pair& entry : aObject) {
    aText += separator + std::string(aDepth + 2, ' ') +
             json::serialize(json::value(entry.key())) + ": ";
    Indent(entry.value(), aDepth + 2, aText);
    separator = ",\n";
  }
  aText += "\n" + std::string(aDepth, ' ') + "}";
}

void
IndentArray(const json::array& aArray, std::size_t aDepth, std::string& aText)
{
  std::string separator = "[\n";
  for (const json::value& element : aArray) {
    aText += separator + std::string(aDepth + 2, ' ');
    Indent(element, aDepth + 2, aText);
    separator = ",\n";
  }
  aText += "\n" + std::string(aDepth, ' ') + "]";
}

void
Indent(const json::value& aValue, std::size_t aDepth, std::string& aText)
{
  const json::object* object = aValue.if_object();
  const json::array* array = aValue.if_array();
  if (object && !object->empty()) {
    IndentObject(*object, aDepth, aText);
  } else if (array && !array->empty()) {
    IndentArray(*array, aDepth, aText);
  } else if (aValue.is_double()) {
    aText += FormatNumber(aValue.get_double());
  } else {
    aText += json::serialize(aValue);
  }
}

/// The duration of a unit: s, m or h.
std::optional<Duration>
UnitOf(char aUnit)
{
  switch (aUnit) {
    case 's':
      return std::chrono::seconds(1);
    case 'm':
      return std::chrono::minutes(1);
    case 'h':
      return std::chrono::hours(1);
    default:
      return std::nullopt;
  }
}

/// Parses an offset: "+", a count and a unit (s, m or h), as in "+10m".
std::optional<Duration>
ReadOffset(std::string_view aText)
{
  constexpr std::int64_t kMaxCount = 1'000'000;
  if (aText.size() < 3 || aText.front() != '+') {
    return std::nullopt;
  }
  const std::optional<Duration> unit = UnitOf(aText.back());
  std::int64_t count = 0;
  const char* last = aText.data() + aText.size() - 1;
  const auto read = std::from_chars(aText.data() + 1, last, count);
  if (!unit || read.ptr != last || count < 0 || count > kMaxCount) {
    return std::nullopt;
  }
  return *unit * count;
}

} // namespace

std::string
TextTable::ToString() const
{
  std::vector<std::size_t> widths(m_rows.front().size());
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string
IndentedJson(std::string_view aText)
{
  std::string text;
  Indent(json::parse({ aText.data(), aText.size() }), 0, text);
  return text + "\n";
}

Result<WallTime>
ReadTime(std::string_view aFlag, const std::string& aText, WallTime aNow)
{
  if (const std::optional<Duration> offset = ReadOffset(aText)) {
    return std::chrono::floor<std::chrono::milliseconds>(aNow) + *offset;
  }
  Result<WallTime> time = ParseWallTime(aText);
  if (!time) {
    return Error(ErrorCode::InvalidArgument,
                 "ctl.settings",
                 "",
                 std::string(aFlag) + ": '" + aText +
                   "' is neither a UTC time such as 2027-01-05T06:00:00Z nor "
                   "+30s, +10m or +2h");
  }
  return time;
}

Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Error(
      ErrorCode::InvalidArgument, "ctl.file", "", aPath + ": cannot be opened");
  }
  std::string text;
  for (char character = 0; file.get(character);) {
    if (text.size() >= kMaxFileBytes) {
      return Error(ErrorCode::TooLarge,
                   "ctl.file",
                   "",
                   aPath + ": larger than the limit of " +
                     std::to_string(kMaxFileBytes) + " bytes");
    }
    text.push_back(character);
  }
  return text;
}

std::string
TextOf(const std::vector<FieldDifference>& aDifferences)
{
  std::string text;
  for (const FieldDifference& difference : aDifferences) {
    text += "  " + difference.m_path + ": " +
            (difference.m_before.empty() ? "(none)" : difference.m_before) +
            " -> " +
            (difference.m_after.empty() ? "(none)" : difference.m_after) + "\n";
  }
  return text;
}

std::string
JsonOf(const std::vector<FieldDifference>& aDifferences)
{
  json::array list;
  for (const FieldDifference& difference : aDifferences) {
    list.push_back(json::object{ { "path", difference.m_path },
                                 { "before", difference.m_before },
                                 { "after", difference.m_after } });
  }
  return json::serialize(list);
}

std::string
JsonOf(const Error& aError)
{
  return json::serialize(
    json::object{ { "result", "error" },
                  { "code", std::string(Name(aError.Code())) },
                  { "step", aError.Step() },
                  { "peer", aError.Peer() },
                  { "detail", aError.Detail() } });
}

bool
IsTerminal()
{
  return isatty(STDERR_FILENO) == 1;
}

void
DrawProgress(const std::string& aLine)
{
  if (IsTerminal()) {
    std::fprintf(stderr, "\r\033[K%s", aLine.c_str());
    std::fflush(stderr);
  }
}

} // namespace tarragontray
