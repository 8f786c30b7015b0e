/// \file
/// Turns the bytes of configuration objects into values.
///
///     Result<Template> shared = decoder.DecodeTemplate(document.m_body);
///
/// JsonConfigurationDecoder (version/ConfigurationJson.h) is the one in use.
#pragma once

#include <string_view>

#include "base/Result.h"
#include "version/AccountParameters.h"
#include "version/Template.h"

namespace tarragontray {

/// Decodes objects. Thread safety: any thread.
class ConfigurationDecoder
{
public:
  virtual ~ConfigurationDecoder() = default;
  /// Errors: TooLarge, Malformed, InvalidArgument.
  virtual Result<Template> DecodeTemplate(std::string_view aText) const = 0;
  /// Errors: TooLarge, Malformed, InvalidArgument.
  virtual Result<AccountParameters> DecodeParameters(
    std::string_view aText) const = 0;
};

} // namespace tarragontray
