#include "base/TimeText.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace tarragontray {

namespace {

using std::chrono::milliseconds;
using std::chrono::sys_days;

constexpr std::string_view kPattern = "dddd-dd-ddTdd:dd:ddZ";
constexpr std::string_view kPatternMs = "dddd-dd-ddTdd:dd:dd.dddZ";
constexpr int kFirstYear = 1970;
constexpr int kLastYear = 2199;

/// Whether aText equals aPattern, where each 'd' stands for a digit.
bool
MatchesPattern(std::string_view aText, std::string_view aPattern)
{
  if (aText.size() != aPattern.size()) {
    return false;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isDigit = aText[i] >= '0' && aText[i] <= '9';
    if (aPattern[i] == 'd' ? !isDigit : aText[i] != aPattern[i]) {
      return false;
    }
  }
  return true;
}

/// Precondition: the range holds digits only.
int
ParseDigits(std::string_view aText, std::size_t aFirst, std::size_t aCount)
{
  int number = 0;
  const char* first = aText.data() + aFirst;
  std::from_chars(first, first + aCount, number);
  return number;
}

/// Nothing when a field is out of range. Precondition: aText matches a pattern.
std::optional<WallTime>
ParseFields(std::string_view aText)
{
  const int year = ParseDigits(aText, 0, 4);
  const std::chrono::year_month_day date{
    std::chrono::year(year),
    std::chrono::month(static_cast<unsigned>(ParseDigits(aText, 5, 2))),
    std::chrono::day(static_cast<unsigned>(ParseDigits(aText, 8, 2)))
  };
  const int hour = ParseDigits(aText, 11, 2);
  const int minute = ParseDigits(aText, 14, 2);
  const int second = ParseDigits(aText, 17, 2);
  if (!date.ok() || year < kFirstYear || year > kLastYear || hour > 23 ||
      minute > 59 || second > 59) {
    return std::nullopt;
  }
  const bool hasMilliseconds = aText.size() == kPatternMs.size();
  const milliseconds fraction(hasMilliseconds ? ParseDigits(aText, 20, 3) : 0);
  return WallTime(sys_days(date)) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second) + fraction;
}

} // namespace

Result<WallTime>
ParseWallTime(std::string_view aText)
{
  std::optional<WallTime> time;
  if (MatchesPattern(aText, kPattern) || MatchesPattern(aText, kPatternMs)) {
    time = ParseFields(aText);
  }
  if (!time) {
    return Error(ErrorCode::InvalidArgument,
                 "time.parse",
                 "",
                 "not an RFC 3339 UTC time of the years " +
                   std::to_string(kFirstYear) + " to " +
                   std::to_string(kLastYear) +
                   ", for example 2026-12-04T18:00:00Z");
  }
  return *time;
}

std::string
FormatWallTime(WallTime aTime)
{
  const auto days = std::chrono::floor<std::chrono::days>(aTime);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss time(
    std::chrono::floor<milliseconds>(aTime - days));
  std::array<char, 64> text{};
  std::snprintf(text.data(),
                text.size(),
                "%04d-%02u-%02uT%02d:%02d:%02d",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()),
                static_cast<int>(time.seconds().count()));
  std::string result(text.data());
  if (time.subseconds().count() != 0) {
    std::snprintf(text.data(),
                  text.size(),
                  ".%03d",
                  static_cast<int>(time.subseconds().count()));
    result += text.data();
  }
  return result + "Z";
}

} // namespace tarragontray
