/// \file
/// JSON encoding of templates and account parameters. docs/CONFIGURATION.md
/// describes the schema.
///
///     Result<Template> shared = DecodeTemplate(document.m_body);
///     std::string text = EncodeTemplate(shared.value());
///
/// The decoders accept comments. They reject unknown fields and wrong types
/// with the path of the field, and text over the size limits below. Encoding is
/// canonical: equal values give equal text, and decoding that text returns an
/// equal value.
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

/// Errors: TooLarge, Malformed (not JSON), InvalidArgument (an invalid field).
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

/// Implements ConfigurationDecoder by the functions above. Thread safety: any
/// thread.
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
