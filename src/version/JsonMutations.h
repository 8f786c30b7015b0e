/// \file
/// Every change of one place in a JSON text; for tests of decoders.
///
///     for (const JsonMutation& mutation : NullMutations(text, "template")) {
///       Refuses(mutation.m_text, mutation.m_path);
///     }
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tarragontray {

/// A text with one place changed.
struct JsonMutation
{
  /// The changed place, for example "template.routes[0].class".
  std::string m_path;
  std::string m_text;
};

/// Each value of an object or list, in turn, replaced by null.
std::vector<JsonMutation>
NullMutations(std::string_view aText, std::string_view aRoot);

/// Each object, in turn, with a field that no schema knows.
std::vector<JsonMutation>
UnknownFieldMutations(std::string_view aText, std::string_view aRoot);

/// Each value, in turn, replaced by values of every type: numbers at the ends
/// of their ranges, texts, lists, objects; also left out. Some of them are
/// valid.
std::vector<JsonMutation>
ReplacementMutations(std::string_view aText, std::string_view aRoot);

} // namespace tarragontray
