/// \file
/// A template, which accounts share and expand with their own parameters.
///
/// A template version is stored as "templates/NAME/VERSION" and is immutable
/// once written. A Field is a literal or the name of a declared parameter:
///
///     TemplateService service;
///     service.m_queueLimit = 64U;                          // literal
///     service.m_queueLimit = ParameterName{ "queue-limit" }; // parameter
///
/// ExpandTemplate (version/Expansion.h) checks all rules and limits.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// The name of a template's parameter.
using ParameterName = StringId<struct ParameterNameTag>;

inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxTextLength = 256;
inline constexpr std::size_t kMaxParameters = 256;
inline constexpr std::size_t kMaxClasses = 16;
inline constexpr std::size_t kMaxServices = 64;
inline constexpr std::size_t kMaxRoutes = 256;

/// A literal, or the name of the parameter that supplies the value.
template<typename T>
using Field = std::variant<T, ParameterName>;

/// The type of a parameter's value.
enum class ParameterType : std::uint8_t
{
  /// An integer.
  Count,
  /// An integer number of milliseconds.
  Duration,
  /// A fraction from 0 to 1.
  Share,
  Text,
  Boolean,
};

/// "count", "duration", "share", "text" or "boolean".
std::string_view
Name(ParameterType aType);

/// A parameter's value as written, before conversion to its declared type.
using ParameterValue = std::variant<bool, std::int64_t, double, std::string>;

/// A parameter's type, range and default. An account must set a parameter that
/// has no default. Text and boolean parameters have no range.
struct ParameterDeclaration
{
  ParameterName m_name;
  ParameterType m_type = ParameterType::Count;
  std::optional<ParameterValue> m_minimum;
  std::optional<ParameterValue> m_maximum;
  std::optional<ParameterValue> m_default;

  bool operator==(const ParameterDeclaration&) const = default;
};

/// A class of callers.
struct TemplateClass
{
  ClassName m_name;
  Field<std::uint8_t> m_priority;
  Field<std::uint32_t> m_weight;

  bool operator==(const TemplateClass&) const = default;
};

/// A service that accounts may expose.
struct TemplateService
{
  ServiceName m_name;
  Field<std::uint32_t> m_queueLimit;
  Field<Share> m_foreignShare;

  bool operator==(const TemplateService&) const = default;
};

/// A route. Expansion omits it for an account that owns its service but does
/// not expose it.
struct TemplateRoute
{
  RouteName m_name;
  ServiceName m_service;
  /// The account that owns the service. If not set, the account whose
  /// parameters expand the template.
  std::optional<Field<ClientAccountId>> m_owner;
  /// The HTTP method; empty matches any.
  std::string m_method;
  Field<std::string> m_pathPrefix;
  Field<ClassName> m_class;
  Field<bool> m_idempotent;
  Field<Duration> m_timeout;
  Field<std::uint8_t> m_maxAttempts;

  bool operator==(const TemplateRoute&) const = default;
};

/// Limits on move plans.
struct TemplateMoveLimits
{
  Field<Duration> m_minRamp;
  Field<Duration> m_minHold;
  Field<Duration> m_maxDuration;

  bool operator==(const TemplateMoveLimits&) const = default;
};

/// One version of a template.
struct Template
{
  TemplateName m_name;
  TemplateVersion m_version;
  std::vector<ParameterDeclaration> m_parameters;
  std::vector<TemplateClass> m_classes;
  std::vector<TemplateService> m_services;
  std::vector<TemplateRoute> m_routes;
  TemplateMoveLimits m_moveLimits;

  bool operator==(const Template&) const = default;
};

} // namespace tarragontray
