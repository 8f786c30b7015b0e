/// \file
/// Reads and writes complete text files, for tools and stand-ins.
///
///     std::optional<std::string> text = ReadWholeFile("mix.json");
///
/// Thread safety: any thread.
#pragma once

#include <optional>
#include <string>

namespace tarragontray {

/// Returns nullopt if the file can't be opened.
std::optional<std::string>
ReadWholeFile(const std::string& aPath);

/// Creates or truncates the file. Returns false if it can't be written
/// completely.
bool
WriteWholeFile(const std::string& aPath, const std::string& aText);

} // namespace tarragontray
