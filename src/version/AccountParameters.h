/// \file
/// A client account's choice of template, its parameter values and its
/// services: the object "configurations/ACCOUNT".
///
///     AccountParameters parameters;
///     parameters.m_account = ClientAccountId{ "mesqel-gate" };
///     parameters.m_template = TemplateName{ "ticketing" };
///     parameters.m_templateVersion = TemplateVersion{ 1 };
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "version/Template.h"

namespace tarragontray {

inline constexpr std::size_t kMaxLiveVersions = 4;

/// A move plan as written in the account's parameters, before expansion.
struct MoveParameters
{
  PlanNumber m_plan;
  UpstreamVersion m_from;
  UpstreamVersion m_to;
  WallTime m_start{};
  WallTime m_deadline{};
  Duration m_hold{ 0 };

  bool operator==(const MoveParameters&) const = default;
};

/// A service that the account exposes, with its upstream versions.
struct ServiceParameters
{
  ServiceName m_name;
  /// Without a move, the first version receives all traffic.
  std::vector<UpstreamVersion> m_liveVersions;
  /// The highest plan number that this service has used so far.
  PlanNumber m_lastPlan;
  std::optional<MoveParameters> m_move;

  bool operator==(const ServiceParameters&) const = default;
};

/// The contents of one "configurations/ACCOUNT" object.
struct AccountParameters
{
  ClientAccountId m_account;
  TemplateName m_template;
  TemplateVersion m_templateVersion;
  std::map<ParameterName, ParameterValue> m_values;
  std::vector<ServiceParameters> m_services;

  bool operator==(const AccountParameters&) const = default;
};

} // namespace tarragontray
