#include "base/TimeText.h"

#include <criterion/criterion.h>

namespace tarragontray {

Test(TimeText, FormatReversesParse)
{
  const char* const kTexts[] = { "1970-01-01T00:00:00Z",
                                 "2026-12-04T18:05:09Z",
                                 "2028-02-29T23:59:59.007Z",
                                 "2199-12-31T23:59:59.999Z" };
  for (const char* text : kTexts) {
    const Result<WallTime> time = ParseWallTime(text);
    cr_assert(time.has_value(), "rejected %s", text);
    cr_assert(FormatWallTime(time.value()) == text);
  }
}

Test(TimeText, CountsFromTheEpoch)
{
  const Result<WallTime> time = ParseWallTime("2001-09-09T01:46:40.250Z");
  cr_assert(time.value().time_since_epoch() ==
            std::chrono::milliseconds(1'000'000'000'250));
}

Test(TimeText, ParseRejectsMalformedText)
{
  const char* const kBad[] = {
    "",
    "2026-12-04",
    "2026-12-04T18:00:00",
    "2026-12-04T18:00:00+03:00",
    "2026-13-04T18:00:00Z",
    "2026-02-29T18:00:00Z",
    "2026-12-04T24:00:00Z",
    "2026-12-04T18:60:00Z",
    "2026-12-04T18:00:60Z",
    "1969-12-31T23:59:59Z",
    "2200-01-01T00:00:00Z",
    "2026-12-04T18:00:00.1Z",
    "2026-12-04t18:00:00Z",
    "-026-12-04T18:00:00Z",
  };
  for (const char* text : kBad) {
    const Result<WallTime> time = ParseWallTime(text);
    cr_assert(!time.has_value(), "accepted %s", text);
    cr_assert(time.error().Code() == ErrorCode::InvalidArgument);
  }
}

} // namespace tarragontray
