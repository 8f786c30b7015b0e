/// \file
/// The rules that single fields of a configuration must keep.
///
///     FieldErrors errors;
///     errors.CheckName("template.name", text);
///     if (errors.First()) { ... }
///
/// Only the first error is kept, so that a long list of checks reads as one
/// step a line.
///
/// Thread safety: one thread for each instance; constants are free to share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/Error.h"
#include "base/Units.h"

namespace tarragontray {

/// A closed range of whole numbers.
struct NumberRange
{
  std::int64_t m_minimum;
  std::int64_t m_maximum;
};

inline constexpr NumberRange kPriorityRange{ 0, 7 };
inline constexpr NumberRange kWeightRange{ 1, 1'000 };
inline constexpr NumberRange kQueueLimitRange{ 1, 4'096 };
inline constexpr NumberRange kMaxAttemptsRange{ 1, 10 };
inline constexpr NumberRange kTimeoutRangeMs{ 1, 300'000 };
inline constexpr NumberRange kMinRampRangeMs{ 1'000, 86'400'000 };
inline constexpr NumberRange kHoldRangeMs{ 0, 86'400'000 };
inline constexpr NumberRange kMaxDurationRangeMs{ 1'000, 2'592'000'000 };

/// The path of an element of a list: "template.routes[2]".
std::string
ElementPath(std::string_view aList, std::size_t aIndex);

/// Keeps the first error of a sequence of checks.
class FieldErrors
{
public:
  /// \param aStep the step that errors carry.
  explicit FieldErrors(std::string aStep)
    : m_step(std::move(aStep))
  {
  }

  /// Notes "aPath: aDetail", unless an error is kept already.
  void Add(std::string_view aPath, std::string_view aDetail);
  /// Adds an error unless aCondition.
  void Check(bool aCondition, std::string_view aPath, std::string_view aDetail);
  /// Lower-case letters, digits, '.', '_' and '-', starting with a letter or
  /// digit, at most kMaxNameLength.
  void CheckName(std::string_view aPath, std::string_view aName);
  void CheckCount(std::string_view aPath,
                  std::size_t aCount,
                  std::size_t aMaximum);
  void CheckRange(std::string_view aPath,
                  std::int64_t aValue,
                  NumberRange aRange,
                  std::string_view aUnit = "");

  const std::optional<Error>& First() const { return m_first; }

private:
  std::string m_step;
  std::optional<Error> m_first;
};

} // namespace tarragontray
