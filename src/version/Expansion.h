/// \file
/// Expansion of a template with an account's parameters.
///
///     Result<Configuration> configuration =
///       ExpandTemplate(sharedTemplate, parameters, document.m_revision);
///     if (!configuration) {
///       Reject(configuration.error().Detail()); // "template.routes[2]..."
///     }
///
/// Every node expands by itself, so the function is pure and deterministic:
/// equal inputs give equal configurations on every VM.
#pragma once

#include "base/Result.h"
#include "version/AccountParameters.h"
#include "version/Configuration.h"
#include "version/Template.h"

namespace tarragontray {

/// Gives the whole configuration, or an error whose detail begins with the
/// path of the first offending field: "template...." or "parameters....".
/// Errors: InvalidArgument. Thread safety: any thread.
Result<Configuration>
ExpandTemplate(const Template& aTemplate,
               const AccountParameters& aParameters,
               Revision aVersion);

} // namespace tarragontray
