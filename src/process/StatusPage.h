/// \file
/// The read-only HTML status page of a node, rendered from its /status.
///
/// Thread safety: pure functions.
#pragma once

#include <string_view>

namespace tarragontray {

/// Returns the page. Its script requests /status every two seconds.
std::string_view
StatusPage();

} // namespace tarragontray
