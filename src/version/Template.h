/// \file
/// The shared template that accounts fill with their parameters.
///
/// A template is immutable once written: "templates/NAME/VERSION". A Field is
/// a literal or the name of a declared parameter:
///
///     TemplateService service;
///     service.m_queueLimit = 64U;                          // literal
///     service.m_queueLimit = ParameterName{ "queue-limit" }; // parameter
///
/// ExpandTemplate (version/Expansion.h) checks every rule and bound below.
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

/// The name of a parameter that a template declares.
using ParameterName = StringId<struct ParameterNameTag>;

inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxTextLength = 256;
inline constexpr std::size_t kMaxParameters = 256;
inline constexpr std::size_t kMaxClasses = 16;
inline constexpr std::size_t kMaxServices = 64;
inline constexpr std::size_t kMaxRoutes = 256;

/// A literal, or the parameter that gives the value.
template<typename T>
using Field = std::variant<T, ParameterName>;

/// What a parameter's value means.
enum class ParameterType : std::uint8_t
{
  /// A whole number.
  Count,
  /// A whole number of milliseconds.
  Duration,
  /// A fraction from 0 to 1.
  Share,
  Text,
  Boolean,
};

/// "count", "duration", "share", "text" or "boolean".
std::string_view
Name(ParameterType aType);

/// A value as written; its declaration gives it a type.
using ParameterValue = std::variant<bool, std::int64_t, double, std::string>;

/// A parameter's type, range and default. Without a default the account must
/// give a value. Text and booleans have no range.
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

/// A route. It is left out for accounts that do not expose its service.
struct TemplateRoute
{
  RouteName m_name;
  ServiceName m_service;
  /// The account that owns the service; not set: the account itself.
  std::optional<Field<ClientAccountId>> m_owner;
  /// Empty for any.
  std::string m_method;
  Field<std::string> m_pathPrefix;
  Field<ClassName> m_class;
  Field<bool> m_idempotent;
  Field<Duration> m_timeout;
  Field<std::uint8_t> m_maxAttempts;

  bool operator==(const TemplateRoute&) const = default;
};

/// Limits on the plans of moves.
struct TemplateMoveLimits
{
  Field<Duration> m_minRamp;
  Field<Duration> m_minHold;
  Field<Duration> m_maxDuration;

  bool operator==(const TemplateMoveLimits&) const = default;
};

/// One immutable template version.
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
