/// \file
/// Converts a settings file to flags. Each line of the file is "name = value",
/// a comment that starts with '#', or blank. Settings with an empty value are
/// skipped.
///
///     Result<std::vector<std::string>> flags = ReadSettingsFile(path);
///     // { "--vm=box-1", "--data-centre=addis-1" }
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"

namespace tarragontray {

/// Converts the text of a settings file. Errors: Malformed, with the line
/// number.
Result<std::vector<std::string>>
ParseSettingsFile(std::string_view aText);

/// Reads and converts a settings file. Errors: NotFound when the file can't be
/// read, and those of ParseSettingsFile.
Result<std::vector<std::string>>
ReadSettingsFile(const std::string& aPath);

} // namespace tarragontray
