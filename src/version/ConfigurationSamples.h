/// \file
/// A template and parameters in which every field is present; for tests.
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
/// "configurations/mesqel-gate" as JSON; fits SampleTemplateText.
std::string
SampleParametersText();

/// The two texts, decoded.
Template
SampleTemplate();
AccountParameters
SampleParameters();

} // namespace tarragontray
