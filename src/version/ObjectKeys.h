/// \file
/// Keys of the platform's objects that configuration uses.
///
///     ObjectKey key = TemplateKey(TemplateName{ "ticketing" },
///                                 TemplateVersion{ 2 });
///     // "templates/ticketing/2"
///
/// Thread safety: pure functions.
#pragma once

#include <optional>
#include <string_view>

#include "base/Ids.h"

namespace tarragontray {

inline constexpr std::string_view kTemplatePrefix = "templates/";
inline constexpr std::string_view kConfigurationPrefix = "configurations/";
inline constexpr std::string_view kHistoryPrefix = "history/";
inline constexpr std::string_view kMovePrefix = "moves/";
inline constexpr std::string_view kOrderPrefix = "orders/";
inline constexpr std::string_view kNodePrefix = "nodes/";

/// "templates/NAME/VERSION".
ObjectKey
TemplateKey(const TemplateName& aName, TemplateVersion aVersion);

/// "configurations/ACCOUNT".
ObjectKey
ConfigurationKey(const ClientAccountId& aAccount);

/// "moves/ACCOUNT/SERVICE/PLAN", the outcome of a move.
ObjectKey
MoveKey(const MoveId& aMove);

/// "orders/ACCOUNT/SERVICE", an order to move the service's traffic.
ObjectKey
OrderKey(const ServiceId& aService);

/// "nodes/VM", where the node of a VM is reached.
ObjectKey
NodeKey(const VmId& aVm);

/// The service of an "orders/ACCOUNT/SERVICE" key.
std::optional<ServiceId>
ServiceOfOrderKey(const ObjectKey& aKey);

/// Whether the key is one of a template. Thread safety: any thread.
bool
IsTemplateKey(const ObjectKey& aKey);

/// The account of a "configurations/ACCOUNT" key.
std::optional<ClientAccountId>
AccountOf(const ObjectKey& aKey);

} // namespace tarragontray
