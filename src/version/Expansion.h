/// \file
/// Expands a template with an account's parameters.
///
///     Result<Configuration> configuration =
///       ExpandTemplate(sharedTemplate, parameters, document.m_revision);
///     if (!configuration) {
///       Reject(configuration.error().Detail()); // "template.routes[2]..."
///     }
///
/// Each node expands templates locally. The function is pure and deterministic,
/// so equal inputs give equal configurations on every VM.
#pragma once

#include "base/Result.h"
#include "version/AccountParameters.h"
#include "version/Configuration.h"
#include "version/Template.h"

namespace tarragontray {

/// Returns the configuration, or an error whose detail begins with the path of
/// the first invalid field: "template...." or "parameters....".
/// \param aVersion the revision of the parameters' object.
/// Errors: InvalidArgument. Thread safety: any thread.
Result<Configuration>
ExpandTemplate(const Template& aTemplate,
               const AccountParameters& aParameters,
               Revision aVersion);

} // namespace tarragontray
