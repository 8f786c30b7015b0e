/// \file
/// Compares two JSON texts field by field.
///
///     auto differences = CompareJson(before, after);
///     // "services[box-office].live_versions[1]": "v1" -> "v2"
///
/// List elements with a "name" field are matched by name, other elements by
/// index.
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"

namespace tarragontray {

/// A field that differs, with both values as JSON text. A value is empty where
/// the field is absent.
struct FieldDifference
{
  std::string m_path;
  std::string m_before;
  std::string m_after;

  bool operator==(const FieldDifference&) const = default;
};

/// The differences, sorted by path. The texts may contain comments and hold at
/// most kMaxTemplateBytes each. Errors: TooLarge, Malformed.
/// Thread safety: any thread.
Result<std::vector<FieldDifference>>
CompareJson(std::string_view aBefore, std::string_view aAfter);

} // namespace tarragontray
