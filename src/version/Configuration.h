/// \file
/// One account's expanded configuration version, immutable once made.
///
/// A Configuration comes from ExpandTemplate (version/Expansion.h). Traffic
/// threads hold it by shared_ptr<const Configuration>; a new version replaces
/// it whole.
///
/// Thread safety: immutable; concurrent reads are safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/MovePlan.h"

namespace tarragontray {

/// A class of callers with its priority and weight.
struct CallerClass
{
  ClassName m_name;
  /// Lower runs first.
  std::uint8_t m_priority = 0;
  /// Share among the classes of one priority, at least 1.
  std::uint32_t m_weight = 1;

  bool operator==(const CallerClass&) const = default;
};

/// A service that the account exposes.
struct ServiceSpec
{
  ServiceId m_id;
  /// Upstream versions that may get traffic; the plan's two while it runs.
  /// Without a plan, the first one gets the traffic.
  std::vector<UpstreamVersion> m_liveVersions;
  std::optional<MovePlan> m_move;
  /// The highest plan number that this service has used.
  PlanNumber m_lastPlan;
  /// Calls that may wait in one guard's queue.
  std::uint32_t m_queueLimit = 64;
  /// Share of a guard's slots that other accounts may hold together.
  Share m_foreignShare = Share::FromFraction(0.5);

  bool operator==(const ServiceSpec&) const = default;
};

/// One of the services that share a route's calls.
struct WeightedService
{
  ServiceId m_service;
  std::uint32_t m_weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// A route: which calls go to which service, and how.
struct RouteSpec
{
  RouteName m_name;
  ServiceId m_service;
  /// Services that share the calls by weight, m_service among them; empty:
  /// all calls go to m_service.
  std::vector<WeightedService> m_weightedServices;
  /// The host that callers name; empty for any.
  std::string m_host;
  /// "GET", "POST" ...; empty for any.
  std::string m_method;
  /// Matches targets that start with it.
  std::string m_pathPrefix;
  ClassName m_class;
  bool m_idempotent = false;
  Duration m_timeout{ 0 };
  /// The time within which an answer is worth most; zero: not stated.
  Duration m_objective{ 0 };
  /// Attempts over one call, at least 1.
  std::uint8_t m_maxAttempts = 3;

  bool operator==(const RouteSpec&) const = default;
};

/// Limits on the plans of moves.
struct MoveLimits
{
  /// The shortest time from the start to the whole traffic.
  Duration m_minRamp{ std::chrono::seconds(10) };
  Duration m_minHold{ 0 };
  /// The longest time from the start to the deadline.
  Duration m_maxDuration{ std::chrono::hours(24) };

  bool operator==(const MoveLimits&) const = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits
{
  ByteCount m_headerBytes;
  ByteCount m_bodyBytes;
  Duration m_requestTimeout{ 0 };
  Duration m_idleTimeout{ 0 };

  bool operator==(const CallerLimits&) const = default;
};

/// All that one account's version says.
struct Configuration
{
  ClientAccountId m_account;
  /// The platform's revision of the account's object: the version number.
  Revision m_version;
  TemplateName m_templateName;
  TemplateVersion m_templateVersion;
  std::vector<CallerClass> m_classes;
  std::vector<ServiceSpec> m_services;
  /// Longest path prefix first.
  std::vector<RouteSpec> m_routes;
  MoveLimits m_moveLimits;
  /// Not set: the node's own limits.
  std::optional<CallerLimits> m_callerLimits;
  /// All services that routes name are listed in m_services: the version is
  /// whole without any announcement of an upstream.
  bool m_declaresServices = false;

  bool operator==(const Configuration&) const = default;
};

/// The first route that fits, or null.
const RouteSpec*
FindRoute(const Configuration& aConfiguration,
          std::string_view aMethod,
          std::string_view aTarget,
          std::string_view aHost = {});

} // namespace tarragontray
