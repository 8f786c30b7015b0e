/// \file
/// Keys of the configuration's objects in the platform's object store.
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
inline constexpr std::string_view kEvacuationPrefix = "evacuations/";

/// "templates/NAME/VERSION".
ObjectKey
TemplateKey(const TemplateName& aName, TemplateVersion aVersion);

/// "configurations/ACCOUNT".
ObjectKey
ConfigurationKey(const ClientAccountId& aAccount);

/// "moves/ACCOUNT/SERVICE/PLAN", which holds the outcome of a move.
ObjectKey
MoveKey(const MoveId& aMove);

/// "orders/ACCOUNT/SERVICE", which holds an order to move the service's
/// traffic.
ObjectKey
OrderKey(const ServiceId& aService);

/// "nodes/VM", which holds the address of the VM's node.
ObjectKey
NodeKey(const VmId& aVm);

/// The service of an "orders/ACCOUNT/SERVICE" key; nothing for other keys.
std::optional<ServiceId>
ServiceOfOrderKey(const ObjectKey& aKey);

/// "evacuations/DATA-CENTRE", which exists while the data centre is to be
/// evacuated.
ObjectKey
EvacuationKey(const DataCentreId& aDataCentre);

/// The data centre of an "evacuations/DATA-CENTRE" key; nothing for other keys.
std::optional<DataCentreId>
DataCentreOfEvacuationKey(const ObjectKey& aKey);

/// Whether the key begins with kTemplatePrefix.
bool
IsTemplateKey(const ObjectKey& aKey);

/// The account of a "configurations/ACCOUNT" key; nothing for other keys.
std::optional<ClientAccountId>
AccountOfConfigurationKey(const ObjectKey& aKey);

} // namespace tarragontray
