/// \file
/// Strongly typed identifiers.
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

/// A VM, which hosts one node and its upstream.
using VmId = StringId<struct VmIdTag>;
/// A data centre; one region holds several.
using DataCentreId = StringId<struct DataCentreIdTag>;
/// A region. The network between regions may be partitioned.
using RegionId = StringId<struct RegionIdTag>;
/// A client account: the owner of a configuration.
using ClientAccountId = StringId<struct ClientAccountIdTag>;
/// The name of a service within its owner's account.
using ServiceName = StringId<struct ServiceNameTag>;
/// The name of a route within a configuration.
using RouteName = StringId<struct RouteNameTag>;
/// The name of a class of callers, for priority and histograms.
using ClassName = StringId<struct ClassNameTag>;
/// A version of an upstream's program, for example "v2".
using UpstreamVersion = StringId<struct UpstreamVersionTag>;
/// One run of an upstream process, as the upstream reports it; a restart
/// changes it.
using UpstreamInstanceId = StringId<struct UpstreamInstanceIdTag>;
/// The name of a shared template.
using TemplateName = StringId<struct TemplateNameTag>;
/// The key of an object in the platform's object API.
using ObjectKey = StringId<struct ObjectKeyTag>;
/// An idempotency key: identifies one operation of a caller across all its
/// attempts.
using OperationId = StringId<struct OperationIdTag>;

/// The id of one attempt, unique on its peer link.
using CallId = Amount<struct CallIdTag>;
/// A revision of the platform's object store: a counter that increases with
/// each write of any object. base/PlatformEra.h says what happens when the
/// platform loses writes.
using Revision = Amount<struct RevisionTag>;
/// The version of a template. A version is immutable once written.
using TemplateVersion = Amount<struct TemplateVersionTag>;
/// The number of a move's plan, increasing within a service.
using PlanNumber = Amount<struct PlanNumberTag>;
/// A member's incarnation number, which increases each time its node starts or
/// refutes a suspicion.
using Incarnation = Amount<struct IncarnationTag>;

/// A service and the client account that owns it.
struct ServiceId
{
  ClientAccountId m_owner;
  ServiceName m_name;

  auto operator<=>(const ServiceId&) const = default;
};

/// A move of a service, identified by its plan number.
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
