/// \file
/// Test data: a template and parameters that set every field.
///
///     Result<Template> shared = DecodeTemplate(SampleTemplateText());
///
/// Thread safety: pure functions.
#pragma once

#include <string>

#include "version/AccountParameters.h"
#include "version/Template.h"

namespace tarragontray {

/// "templates/sample/3" as JSON.
std::string
SampleTemplateText();
/// "configurations/mesqel-gate" as JSON; expands with SampleTemplateText.
std::string
SampleParametersText();

/// SampleTemplateText, decoded.
Template
SampleTemplate();
/// SampleParametersText, decoded.
AccountParameters
SampleParameters();

} // namespace tarragontray
