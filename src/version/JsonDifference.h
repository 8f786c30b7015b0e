/// \file
/// What differs between two JSON texts, field by field.
///
///     auto differences = CompareJson(before, after);
///     // "services[box-office].live_versions[1]": "v1" -> "v2"
///
/// Elements of a list that carry a "name" are matched by it, others by their
/// place.
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"

namespace tarragontray {

/// One field that differs. A side without the field is empty; values are in
/// JSON.
struct FieldDifference
{
  std::string m_path;
  std::string m_before;
  std::string m_after;

  bool operator==(const FieldDifference&) const = default;
};

/// The differences, by path. Comments are allowed. Errors: Malformed.
/// Thread safety: any thread.
Result<std::vector<FieldDifference>>
CompareJson(std::string_view aBefore, std::string_view aAfter);

} // namespace tarragontray
