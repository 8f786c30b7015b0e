/// \file
/// JSON encoding of the admin port of standin-platform; the fields are listed
/// in programs/StandinPlatform.h.
///
///     std::optional<PlatformFaults> faults = DecodeFaults(body, current);
///
/// Thread safety: pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "programs/StandinPlatform.h"

namespace tarragontray {

std::string
EncodeCounts(const PlatformCounts& aCounts);

std::string
EncodeFaults(const PlatformFaults& aFaults);

/// Returns aCurrent with the fields of aText replaced, or nullopt when aText is
/// not a JSON object or when a field is unknown or has an invalid value.
std::optional<PlatformFaults>
DecodeFaults(std::string_view aText, const PlatformFaults& aCurrent);
/// The `age_ms` of a request to restore the platform; nullopt when it is
/// missing.
std::optional<Duration>
DecodeRestore(std::string_view aText);

} // namespace tarragontray
