/// \file
/// The read-only HTML page of a node, drawn from its /status.
///
/// Thread safety: pure functions.
#pragma once

#include <string_view>

namespace tarragontray {

/// The page; it asks /status every two seconds.
std::string_view
StatusPage();

} // namespace tarragontray
