/// \file
/// Templates and account parameters as JSON text; docs/CONFIGURATION.md gives
/// the schema.
///
///     Result<Template> shared = DecodeTemplate(document.m_body);
///     std::string text = EncodeTemplate(shared.value());
///
/// Comments are allowed. Unknown fields, wrong types and text over the bounds
/// are refused with the path of the field. Encoding is canonical: equal values
/// give equal text, and decoding gives the value back.
///
/// Thread safety: pure functions.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/Result.h"
#include "version/AccountParameters.h"
#include "version/ConfigurationDecoder.h"
#include "version/Template.h"

namespace tarragontray {

inline constexpr std::size_t kMaxTemplateBytes = 262'144;
inline constexpr std::size_t kMaxParametersBytes = 65'536;

/// Errors: TooLarge, Malformed (not JSON), InvalidArgument (a field).
/// Thread safety: any thread.
Result<Template>
DecodeTemplate(std::string_view aText);

/// Errors: as for DecodeTemplate. Thread safety: any thread.
Result<AccountParameters>
DecodeParameters(std::string_view aText);

/// Thread safety: any thread.
std::string
EncodeTemplate(const Template& aTemplate);

/// Thread safety: any thread.
std::string
EncodeParameters(const AccountParameters& aParameters);

/// The functions above as a ConfigurationDecoder. Thread safety: any thread.
class JsonConfigurationDecoder final : public ConfigurationDecoder
{
public:
  Result<Template> DecodeTemplate(std::string_view aText) const override
  {
    return tarragontray::DecodeTemplate(aText);
  }
  Result<AccountParameters> DecodeParameters(
    std::string_view aText) const override
  {
    return tarragontray::DecodeParameters(aText);
  }
};

} // namespace tarragontray
