/// \file
/// JSON of the platform stand-in's admin port; fields as in StandinPlatform.h.
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

/// The current faults with the fields of aText put over them; nothing when a
/// field is unknown or of the wrong type.
std::optional<PlatformFaults>
DecodeFaults(std::string_view aText, const PlatformFaults& aCurrent);

} // namespace tarragontray
