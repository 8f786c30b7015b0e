/// \file
/// The identifiers of the system, each a type of its own.
///
///     ServiceId service{ ClientAccountId{ "mesqel-gate" },
///                        ServiceName{ "box-office" } };
///
/// Thread safety: values; concurrent reads are safe.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/StrongType.h"

namespace tarragontray {

/// A VM with its slot for one node and its upstream.
using VmId = StringId<struct VmIdTag>;
/// A data centre; one region holds several.
using DataCentreId = StringId<struct DataCentreIdTag>;
/// A region; regions can lose each other.
using RegionId = StringId<struct RegionIdTag>;
/// A client account: the owner of a configuration.
using ClientAccountId = StringId<struct ClientAccountIdTag>;
/// The name of a service within its owner's account.
using ServiceName = StringId<struct ServiceNameTag>;
/// The name of a route within a configuration.
using RouteName = StringId<struct RouteNameTag>;
/// The name of a class of callers, for priority and histograms.
using ClassName = StringId<struct ClassNameTag>;
/// A version of a back end's program, for example "v2".
using UpstreamVersion = StringId<struct UpstreamVersionTag>;
/// One life of an upstream's program, as the upstream names itself.
using UpstreamInstanceId = StringId<struct UpstreamInstanceIdTag>;
/// The name of a shared template.
using TemplateName = StringId<struct TemplateNameTag>;
/// The key of an object in the platform's object API.
using ObjectKey = StringId<struct ObjectKeyTag>;
/// An idempotency key: one operation of a caller, over all its attempts.
using OperationId = StringId<struct OperationIdTag>;

/// One attempt's id on one peer link.
using CallId = Amount<struct CallIdTag>;
/// A revision of the platform: one rising number over all objects.
using Revision = Amount<struct RevisionTag>;
/// The version of a template, immutable once written.
using TemplateVersion = Amount<struct TemplateVersionTag>;
/// The number of a move's plan within its service; each new plan is higher.
using PlanNumber = Amount<struct PlanNumberTag>;
/// Rises each time a node starts or refutes a suspicion.
using Incarnation = Amount<struct IncarnationTag>;

/// A service and the client account that owns it.
struct ServiceId
{
  ClientAccountId m_owner;
  ServiceName m_name;

  auto operator<=>(const ServiceId&) const = default;
};

/// One move of a service; the plan's number makes it unique.
struct MoveId
{
  ServiceId m_service;
  PlanNumber m_plan;

  auto operator<=>(const MoveId&) const = default;
};

} // namespace tarragontray

template<>
struct std::hash<tarragontray::ServiceId>
{
  std::size_t operator()(const tarragontray::ServiceId& aId) const
  {
    const std::size_t owner = std::hash<std::string>{}(aId.m_owner.Value());
    return owner * 31 + std::hash<std::string>{}(aId.m_name.Value());
  }
};
