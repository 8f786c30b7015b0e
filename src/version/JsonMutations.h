/// \file
/// Generates systematic single-value mutations of a JSON text, for tests of
/// decoders.
///
///     for (const JsonMutation& mutation : NullMutations(text, "template")) {
///       ExpectRejected(mutation.m_text, mutation.m_path);
///     }
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tarragontray {

/// A text with one mutated value.
struct JsonMutation
{
  /// The path of the mutated value, for example "template.routes[0].class".
  std::string m_path;
  std::string m_text;
};

/// One mutation for each value, the root included, which replaces it by null.
std::vector<JsonMutation>
NullMutations(std::string_view aText, std::string_view aRoot);

/// One mutation for each object, which adds a field that no schema has.
std::vector<JsonMutation>
UnknownFieldMutations(std::string_view aText, std::string_view aRoot);

/// Mutations that replace each value by values of every type, among them
/// numbers at the ends of their ranges, and mutations that remove each field.
/// Some of the texts are valid.
std::vector<JsonMutation>
ReplacementMutations(std::string_view aText, std::string_view aRoot);

} // namespace tarragontray
