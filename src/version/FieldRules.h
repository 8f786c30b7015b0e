/// \file
/// Validation rules for individual configuration fields.
///
///     FieldErrors errors;
///     errors.CheckName("template.name", text);
///     if (errors.First()) { ... }
///
/// FieldErrors keeps only the first error, so that callers can run a series of
/// checks without testing each result.
///
/// Thread safety: one thread for each instance.
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

/// A closed range of integers.
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

/// The path of a list element, for example "template.routes[2]".
std::string
ElementPath(std::string_view aList, std::size_t aIndex);

/// Keeps the first error of a sequence of checks.
class FieldErrors
{
public:
  /// \param aStep the step of the errors, for example "template.decode".
  explicit FieldErrors(std::string aStep)
    : m_step(std::move(aStep))
  {
  }

  /// Records the error "aPath: aDetail" unless there already is one.
  void Add(std::string_view aPath, std::string_view aDetail);
  /// Adds an error unless aCondition holds.
  void Check(bool aCondition, std::string_view aPath, std::string_view aDetail);
  /// Adds an error unless aName consists of 1 to kMaxNameLength lower-case
  /// letters, digits, '.', '_' and '-', and starts with a letter or digit.
  void CheckName(std::string_view aPath, std::string_view aName);
  /// Adds an error if aCount is above aMaximum.
  void CheckCount(std::string_view aPath,
                  std::size_t aCount,
                  std::size_t aMaximum);
  /// Adds an error if aValue is outside aRange. The detail ends with aUnit.
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
