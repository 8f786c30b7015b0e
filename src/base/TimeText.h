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

/// Reads "YYYY-MM-DDThh:mm:ssZ" or "YYYY-MM-DDThh:mm:ss.mmmZ" of the years
/// 1970 to 2199. Errors: InvalidArgument. Thread safety: any thread.
Result<WallTime>
ParseWallTime(std::string_view aText);

/// Writes what ParseWallTime reads, with milliseconds only when there are any;
/// finer parts are cut off. Precondition: aTime is within the years above.
/// Thread safety: any thread.
std::string
FormatWallTime(WallTime aTime);

} // namespace tarragontray
