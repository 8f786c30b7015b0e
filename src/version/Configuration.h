/// \file
/// One version of an account's expanded configuration.
///
/// ExpandTemplate (version/Expansion.h) makes a Configuration from a template,
/// and ConfigurationDecoder::DecodeConfiguration from an object that uses no
/// template. Traffic threads hold it as a shared_ptr<const Configuration>; a
/// new version replaces the old one as a unit.
///
/// Thread safety: immutable; concurrent reads are safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ApiKey.h"
#include "base/Ids.h"
#include "base/Units.h"
#include "version/MovePlan.h"

namespace tarragontray {

/// A class of callers, with its scheduling priority and weight.
struct CallerClass
{
  ClassName m_name;
  /// Lower values are served first.
  std::uint8_t m_priority = 0;
  /// Relative share among the classes of equal priority; at least 1.
  std::uint32_t m_weight = 1;

  bool operator==(const CallerClass&) const = default;
};

/// A service that the account exposes.
struct ServiceSpec
{
  ServiceId m_id;
  /// Upstream versions that may receive traffic; while a move runs, its two
  /// versions. Without a plan, the first version receives all traffic.
  std::vector<UpstreamVersion> m_liveVersions;
  std::optional<MovePlan> m_move;
  /// The highest plan number that this service has used so far.
  PlanNumber m_lastPlan;
  /// The maximum number of calls that wait in one guard's queue.
  std::uint32_t m_queueLimit = 64;
  /// The share of a guard's slots that all other accounts together may hold.
  Share m_foreignShare = Share::FromFraction(0.5);
  /// The calls per second that an upstream tolerates while it is cold; not set
  /// when the service states none.
  std::optional<CallRate> m_coldRate;
  /// How long an upstream is cold after its start; 0 when not stated.
  Duration m_warmUp{ 0 };
  /// The HTTP target of health requests; empty when the service states none.
  std::string m_healthTarget;

  bool operator==(const ServiceSpec&) const = default;
};

/// A service that receives part of a route's calls.
struct WeightedService
{
  ServiceId m_service;
  std::uint32_t m_weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// A route: the calls that it matches, their service and their call policy.
struct RouteSpec
{
  RouteName m_name;
  ServiceId m_service;
  /// Services that share the calls in proportion to their weights, including
  /// m_service. If empty, all calls go to m_service.
  std::vector<WeightedService> m_weightedServices;
  /// The host in the request; empty matches any.
  std::string m_host;
  /// The HTTP method, for example "GET"; empty matches any.
  std::string m_method;
  /// Matches request targets that start with this text.
  std::string m_pathPrefix;
  ClassName m_class;
  bool m_idempotent = false;
  /// Whether calls without an API key are accepted although the configuration
  /// identifies its callers.
  bool m_allowsAnonymous = false;
  Duration m_timeout{ 0 };
  /// The latency objective: a response within this time has the most value.
  /// Zero if there is none.
  Duration m_objective{ 0 };
  /// The maximum number of attempts per call, at least 1.
  std::uint8_t m_maxAttempts = 3;

  bool operator==(const RouteSpec&) const = default;
};

/// Limits on move plans.
struct MoveLimits
{
  /// The shortest time from the start until m_to receives all traffic.
  Duration m_minRamp{ std::chrono::seconds(10) };
  Duration m_minHold{ 0 };
  /// The longest time from the start to the deadline.
  Duration m_maxDuration{ std::chrono::hours(24) };

  bool operator==(const MoveLimits&) const = default;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
  ByteCount m_headerBytes;
  ByteCount m_bodyBytes;
  Duration m_requestTimeout{ 0 };
  Duration m_idleTimeout{ 0 };

  bool operator==(const CallerLimits&) const = default;
};

/// The rate of calls that an account may make, over all nodes together.
struct AccountRate
{
  CallRate m_rate;
  CallCount m_burst;

  bool operator==(const AccountRate&) const = default;
};

/// A client account whose callers identify themselves by an API key.
struct CallerAccount
{
  ClientAccountId m_id;
  /// Replaces the priority of the route's class.
  std::optional<std::uint8_t> m_priority;
  /// Not set without a limit.
  std::optional<AccountRate> m_rate;

  bool operator==(const CallerAccount&) const = default;
};

/// An API key and its account.
struct CallerKey
{
  ApiKeyDigest m_digest;
  /// Index into Configuration::m_callers.
  std::uint32_t m_caller = 0;

  bool operator==(const CallerKey&) const = default;
};

/// See the file comment.
struct Configuration
{
  ClientAccountId m_account;
  /// The platform's revision of the account's object, which serves as the
  /// version number.
  Revision m_version;
  TemplateName m_templateName;
  TemplateVersion m_templateVersion;
  std::vector<CallerClass> m_classes;
  std::vector<ServiceSpec> m_services;
  /// In matching order: the longest path prefix first.
  std::vector<RouteSpec> m_routes;
  MoveLimits m_moveLimits;
  /// If not set, the node's own limits apply.
  std::optional<CallerLimits> m_callerLimits;
  /// Whether m_services lists every service that the routes name. The version
  /// can then take effect before any upstream has been announced.
  bool m_declaresServices = false;
  /// The accounts of callers. If there are any, a call needs an API key unless
  /// its route allows anonymous calls.
  std::vector<CallerAccount> m_callers;
  /// Sorted by digest; no digest occurs twice.
  std::vector<CallerKey> m_callerKeys;

  bool operator==(const Configuration&) const = default;
};

/// The first route that matches the request, or null. Thread safety: any
/// thread.
const RouteSpec*
FindRoute(const Configuration& aConfiguration,
          std::string_view aMethod,
          std::string_view aTarget,
          std::string_view aHost = {});

/// The account that holds the key, or null. Thread safety: any thread.
const CallerAccount*
FindCaller(const Configuration& aConfiguration, const ApiKeyDigest& aKey);

} // namespace tarragontray
