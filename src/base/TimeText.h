/// \file
/// Wall time as text: RFC 3339 in UTC, to the millisecond.
///
///     Result<WallTime> start = ParseWallTime("2026-12-04T18:00:00Z");
///     std::string text = FormatWallTime(start.value());
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>

#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// Parses "YYYY-MM-DDThh:mm:ssZ" or "YYYY-MM-DDThh:mm:ss.mmmZ", for the years
/// 1970 to 2199. Errors: InvalidArgument. Thread safety: any thread.
Result<WallTime>
ParseWallTime(std::string_view aText);

/// Formats a time for ParseWallTime. Truncates to milliseconds and omits a zero
/// fraction. Precondition: aTime is within the years 1970 to 2199. Thread
/// safety: any thread.
std::string
FormatWallTime(WallTime aTime);

} // namespace tarragontray
