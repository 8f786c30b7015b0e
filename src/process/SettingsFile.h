/// \file
/// A file of settings as flags: one "name = value" a line, '#' begins a
/// comment, empty values are left out.
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

/// Errors: Malformed, with the line.
Result<std::vector<std::string>>
ParseSettingsFile(std::string_view aText);

/// Errors: NotFound when the file can't be read; as ParseSettingsFile.
Result<std::vector<std::string>>
ReadSettingsFile(const std::string& aPath);

} // namespace tarragontray
