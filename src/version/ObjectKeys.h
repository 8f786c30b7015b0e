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

/// "templates/NAME/VERSION".
ObjectKey
TemplateKey(const TemplateName& aName, TemplateVersion aVersion);

/// "configurations/ACCOUNT".
ObjectKey
ConfigurationKey(const ClientAccountId& aAccount);

/// "moves/ACCOUNT/SERVICE/PLAN", the outcome of a move.
ObjectKey
MoveKey(const MoveId& aMove);

/// Whether the key is one of a template. Thread safety: any thread.
bool
IsTemplateKey(const ObjectKey& aKey);

/// The account of a "configurations/ACCOUNT" key.
std::optional<ClientAccountId>
AccountOf(const ObjectKey& aKey);

} // namespace tarragontray
