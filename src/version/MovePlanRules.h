/// \file
/// Validates the plan of a move against its service and the template's limits.
///
///     CheckMovePlan(plan, service, limits, "parameters.services[0].move",
///                   errors);
///
/// Thread safety: pure functions.
#pragma once

#include <string>

#include "version/Configuration.h"
#include "version/FieldRules.h"

namespace tarragontray {

/// Adds an error for the first rule that the plan violates; see
/// docs/CONFIGURATION.md. Thread safety: any thread.
void
CheckMovePlan(const MovePlan& aPlan,
              const ServiceSpec& aService,
              const MoveLimits& aLimits,
              const std::string& aPath,
              FieldErrors& aErrors);

} // namespace tarragontray
