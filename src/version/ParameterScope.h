/// \file
/// The validated, typed values of a template's parameters for one account.
///
///     FieldErrors errors("configuration.expand");
///     const ParameterScope scope(sharedTemplate, parameters, errors);
///     std::uint32_t limit =
///       scope.Count(service.m_queueLimit, path, kQueueLimitRange, errors);
///
/// A method that fails adds an error and returns a value that must not be used.
///
/// Thread safety: immutable after construction; concurrent reads are safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "version/AccountParameters.h"
#include "version/FieldRules.h"
#include "version/Template.h"

namespace tarragontray {

/// A parameter's value, converted to its declared type.
using TypedValue =
  std::variant<std::int64_t, Duration, Share, std::string, bool>;

/// See the file comment.
class ParameterScope
{
public:
  /// Validates the declarations, then the account's values against them.
  ParameterScope(const Template& aTemplate,
                 const AccountParameters& aParameters,
                 FieldErrors& aErrors);

  /// Precondition: Number can represent aRange. Thread safety: any thread.
  template<typename Number>
  Number Count(const Field<Number>& aField,
               std::string_view aPath,
               NumberRange aRange,
               FieldErrors& aErrors) const
  {
    const auto value = Resolve<std::int64_t>(aField, aPath, aErrors);
    aErrors.CheckRange(aPath, value, aRange);
    return static_cast<Number>(value);
  }
  /// Thread safety: any thread.
  Duration Time(const Field<Duration>& aField,
                std::string_view aPath,
                NumberRange aRangeMs,
                FieldErrors& aErrors) const;
  /// Thread safety: any thread.
  Share Fraction(const Field<Share>& aField,
                 std::string_view aPath,
                 FieldErrors& aErrors) const
  {
    return Resolve<Share>(aField, aPath, aErrors);
  }
  /// Thread safety: any thread.
  bool Flag(const Field<bool>& aField,
            std::string_view aPath,
            FieldErrors& aErrors) const
  {
    return Resolve<bool>(aField, aPath, aErrors);
  }
  /// A field of text or of a StringId. Thread safety: any thread.
  template<typename Text>
  Text TextOf(const Field<Text>& aField,
              std::string_view aPath,
              FieldErrors& aErrors) const
  {
    if (const Text* literal = std::get_if<Text>(&aField)) {
      return *literal;
    }
    return Text(
      Lookup<std::string>(std::get<ParameterName>(aField), aPath, aErrors));
  }

private:
  template<typename Value, typename Literal>
  Value Resolve(const Field<Literal>& aField,
                std::string_view aPath,
                FieldErrors& aErrors) const
  {
    if (const Literal* literal = std::get_if<Literal>(&aField)) {
      return Value(*literal);
    }
    return Lookup<Value>(std::get<ParameterName>(aField), aPath, aErrors);
  }

  template<typename Value>
  Value Lookup(const ParameterName& aName,
               std::string_view aPath,
               FieldErrors& aErrors) const
  {
    const auto found = m_values.find(aName);
    if (found == m_values.end()) {
      aErrors.Add(aPath,
                  "parameter " + aName.Value() +
                    " is not declared by the template");
      return Value{};
    }
    if (const Value* value = std::get_if<Value>(&found->second)) {
      return *value;
    }
    aErrors.Add(aPath,
                "parameter " + aName.Value() +
                  " has a type other than this field's");
    return Value{};
  }

  std::map<ParameterName, TypedValue> m_values;
};

} // namespace tarragontray
