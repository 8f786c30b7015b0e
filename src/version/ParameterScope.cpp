#include "version/ParameterScope.h"

#include <optional>
#include <set>

namespace tarragontray {

namespace {

constexpr std::int64_t kMaxParameterDurationMs = 2'592'000'000; // 30 days

std::optional<TypedValue>
ToDuration(const ParameterValue& aValue)
{
  const auto* milliseconds = std::get_if<std::int64_t>(&aValue);
  if (!milliseconds || *milliseconds < 0 ||
      *milliseconds > kMaxParameterDurationMs) {
    return std::nullopt;
  }
  return Duration(std::chrono::milliseconds(*milliseconds));
}

std::optional<TypedValue>
ToShare(const ParameterValue& aValue)
{
  double fraction = -1;
  if (const auto* number = std::get_if<double>(&aValue)) {
    fraction = *number;
  } else if (const auto* integer = std::get_if<std::int64_t>(&aValue)) {
    fraction = static_cast<double>(*integer);
  }
  // False for NaN too.
  const bool isFraction = fraction >= 0 && fraction <= 1;
  return isFraction ? std::optional<TypedValue>(Share::FromFraction(fraction))
                    : std::nullopt;
}

std::optional<TypedValue>
ToText(const ParameterValue& aValue)
{
  const auto* text = std::get_if<std::string>(&aValue);
  if (!text || text->size() > kMaxTextLength) {
    return std::nullopt;
  }
  return *text;
}

/// The value itself if it is a T.
template<typename T>
std::optional<TypedValue>
ToUnconverted(const ParameterValue& aValue)
{
  const T* value = std::get_if<T>(&aValue);
  return value ? std::optional<TypedValue>(*value) : std::nullopt;
}

std::optional<TypedValue>
ToTyped(ParameterType aType, const ParameterValue& aValue)
{
  switch (aType) {
    case ParameterType::Count:
      return ToUnconverted<std::int64_t>(aValue);
    case ParameterType::Duration:
      return ToDuration(aValue);
    case ParameterType::Share:
      return ToShare(aValue);
    case ParameterType::Text:
      return ToText(aValue);
    case ParameterType::Boolean:
      return ToUnconverted<bool>(aValue);
  }
  return std::nullopt;
}

bool
HasRange(ParameterType aType)
{
  return aType != ParameterType::Text && aType != ParameterType::Boolean;
}

/// The type and range of a declaration, against which it checks values.
class DeclaredRange
{
public:
  DeclaredRange(const ParameterDeclaration& aDeclaration,
                const std::string& aPath,
                FieldErrors& aErrors)
    : m_type(aDeclaration.m_type)
    , m_errors(aErrors)
  {
    const bool hasLimits = aDeclaration.m_minimum || aDeclaration.m_maximum;
    aErrors.Check(HasRange(m_type) || !hasLimits,
                  aPath + ".min",
                  "text and boolean parameters cannot have min or max");
    m_minimum = Limit(aDeclaration.m_minimum, aPath + ".min");
    m_maximum = Limit(aDeclaration.m_maximum, aPath + ".max");
    aErrors.Check(!m_minimum || !m_maximum || *m_minimum <= *m_maximum,
                  aPath + ".max",
                  "is below min");
  }

  std::optional<TypedValue> CheckedValue(const ParameterValue& aValue,
                                         std::string_view aPath) const
  {
    std::optional<TypedValue> typed = ToTyped(m_type, aValue);
    if (!typed) {
      m_errors.Add(aPath, "is not a " + std::string(Name(m_type)));
      return std::nullopt;
    }
    m_errors.Check(
      !m_minimum || *typed >= *m_minimum, aPath, "is below the declared min");
    m_errors.Check(
      !m_maximum || *typed <= *m_maximum, aPath, "is above the declared max");
    return typed;
  }

private:
  std::optional<TypedValue> Limit(const std::optional<ParameterValue>& aLimit,
                                  const std::string& aPath) const
  {
    if (!aLimit) {
      return std::nullopt;
    }
    std::optional<TypedValue> typed = ToTyped(m_type, *aLimit);
    if (!typed) {
      m_errors.Add(aPath, "is not a " + std::string(Name(m_type)));
    }
    return typed;
  }

  ParameterType m_type;
  FieldErrors& m_errors;
  std::optional<TypedValue> m_minimum;
  std::optional<TypedValue> m_maximum;
};

std::string
ValuePath(const ParameterName& aName)
{
  return "parameters.values." + aName.Value();
}

} // namespace

std::string_view
Name(ParameterType aType)
{
  switch (aType) {
    case ParameterType::Count:
      return "count";
    case ParameterType::Duration:
      return "duration";
    case ParameterType::Share:
      return "share";
    case ParameterType::Text:
      return "text";
    case ParameterType::Boolean:
      return "boolean";
  }
  return "unknown";
}

ParameterScope::ParameterScope(const Template& aTemplate,
                               const AccountParameters& aParameters,
                               FieldErrors& aErrors)
{
  aErrors.CheckCount(
    "template.parameters", aTemplate.m_parameters.size(), kMaxParameters);
  std::set<ParameterName> declared;
  std::size_t index = 0;
  for (const ParameterDeclaration& declaration : aTemplate.m_parameters) {
    const std::string path = ElementPath("template.parameters", index++);
    aErrors.CheckName(path + ".name", declaration.m_name.Value());
    aErrors.Check(declared.insert(declaration.m_name).second,
                  path + ".name",
                  "is declared more than once");
    const DeclaredRange range(declaration, path, aErrors);
    std::optional<TypedValue> value;
    if (declaration.m_default) {
      value = range.CheckedValue(*declaration.m_default, path + ".default");
    }
    const auto given = aParameters.m_values.find(declaration.m_name);
    if (given != aParameters.m_values.end()) {
      value = range.CheckedValue(given->second, ValuePath(declaration.m_name));
    }
    if (value) {
      m_values.emplace(declaration.m_name, *value);
    } else {
      aErrors.Add(ValuePath(declaration.m_name), "has no value and no default");
    }
  }
  for (const auto& [name, value] : aParameters.m_values) {
    aErrors.Check(declared.contains(name),
                  ValuePath(name),
                  "the template declares no such parameter");
  }
}

Duration
ParameterScope::Time(const Field<Duration>& aField,
                     std::string_view aPath,
                     NumberRange aRangeMs,
                     FieldErrors& aErrors) const
{
  const auto value = Resolve<Duration>(aField, aPath, aErrors);
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  aErrors.CheckRange(aPath, milliseconds, aRangeMs, " ms");
  return value;
}

} // namespace tarragontray
