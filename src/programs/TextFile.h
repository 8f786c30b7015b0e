/// \file
/// Whole files, for tools and stand-ins.
///
///     std::optional<std::string> text = ReadWholeFile("mix.json");
///
/// Thread safety: any thread.
#pragma once

#include <optional>
#include <string>

namespace tarragontray {

/// Nothing when the file can't be read.
std::optional<std::string>
ReadWholeFile(const std::string& aPath);

/// False when the file can't be written whole.
bool
WriteWholeFile(const std::string& aPath, const std::string& aText);

} // namespace tarragontray
