#include "programs/LogLines.h"

#include <algorithm>
#include <fstream>

namespace tarragontray {

namespace {

/// Length of "YYYY-MM-DDTHH:MM:SS.ffffff".
constexpr std::size_t kTimeLength = 26;

/// Returns the position of the timestamp "YYYY-MM-DDTHH:MM:SS.ffffff". It need
/// not be at the start of the line: a log collector may add a prefix.
std::optional<std::size_t>
FindTime(const std::string& aLine)
{
  for (std::size_t at = aLine.find('-'); at != std::string::npos;
       at = aLine.find('-', at + 1)) {
    const bool isTime = at >= 4 && at + kTimeLength - 4 <= aLine.size() &&
                        aLine[at + 3] == '-' && aLine[at + 6] == 'T' &&
                        aLine[at + 9] == ':' && aLine[at + 12] == ':' &&
                        aLine[at + 15] == '.';
    if (isTime) {
      return at - 4;
    }
  }
  return std::nullopt;
}

/// Returns the word before the timestamp, or aDefault if there is none.
std::string
NodeOf(const std::string& aLine, std::size_t aTime, const std::string& aDefault)
{
  const std::string before = aLine.substr(0, aTime);
  const std::size_t end = before.find_last_not_of(' ');
  if (end == std::string::npos) {
    return aDefault;
  }
  const std::size_t space = before.find_last_of(' ', end);
  const std::size_t begin = space == std::string::npos ? 0 : space + 1;
  return before.substr(begin, end + 1 - begin);
}

} // namespace

Result<std::vector<LogLine>>
ReadLogs(const std::vector<std::string>& aPaths)
{
  std::vector<LogLine> lines;
  for (const std::string& path : aPaths) {
    std::ifstream file(path);
    if (!file) {
      return Error(ErrorCode::NotFound, "logs.read", "", "can't read " + path);
    }
    std::string defaultNode = path;
    for (std::string line; std::getline(file, line);) {
      const auto time = FindTime(line);
      if (!time) {
        continue;
      }
      if (line.find("Node started.") != std::string::npos) {
        defaultNode = FieldOf(line, "vm").value_or(defaultNode);
      }
      lines.push_back({ line.substr(*time, kTimeLength),
                        NodeOf(line, *time, defaultNode),
                        line.substr(*time + kTimeLength + 1) });
    }
  }
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.m_time < aRight.m_time;
                   });
  return lines;
}

std::optional<std::string>
FieldOf(const std::string& aLine, const std::string& aKey)
{
  const std::string prefix = " " + aKey + "=";
  const std::size_t at = aLine.find(prefix);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t begin = at + prefix.size();
  if (begin < aLine.size() && aLine[begin] == '"') {
    return aLine.substr(begin + 1, aLine.find('"', begin + 1) - begin - 1);
  }
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

} // namespace tarragontray
