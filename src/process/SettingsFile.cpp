#include "process/SettingsFile.h"

#include <fstream>
#include <sstream>

namespace tarragontray {

namespace {

std::string_view
Trimmed(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t\r";
  const auto begin = aText.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kBlanks) - begin + 1);
}

} // namespace

Result<std::vector<std::string>>
ParseSettingsFile(std::string_view aText)
{
  std::vector<std::string> flags;
  std::size_t number = 0;
  while (!aText.empty()) {
    ++number;
    const auto end = std::min(aText.find('\n'), aText.size());
    const std::string_view line = Trimmed(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const auto equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      return Error(ErrorCode::Malformed,
                   "settings.file",
                   "",
                   "line " + std::to_string(number) +
                     " is not of the form 'name = value'");
    }
    const std::string_view value = Trimmed(line.substr(equals + 1));
    if (!value.empty()) {
      flags.push_back("--" + std::string(Trimmed(line.substr(0, equals))) +
                      "=" + std::string(value));
    }
  }
  return flags;
}

Result<std::vector<std::string>>
ReadSettingsFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error(ErrorCode::NotFound,
                 "settings.file",
                 aPath,
                 "cannot read the settings file");
  }
  return ParseSettingsFile(text.str());
}

} // namespace tarragontray
