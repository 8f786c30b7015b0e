/// \file
/// Interface that decodes configuration objects.
///
///     Result<Template> shared = decoder.DecodeTemplate(document.m_body);
///
/// JsonConfigurationDecoder (version/ConfigurationJson.h) implements it for
/// templates and parameters in JSON.
#pragma once

#include <optional>
#include <string_view>

#include "base/Result.h"
#include "version/AccountParameters.h"
#include "version/Configuration.h"
#include "version/Document.h"
#include "version/MoveOrder.h"
#include "version/Template.h"

namespace tarragontray {

/// See the file comment. Thread safety: any thread.
class ConfigurationDecoder
{
public:
  virtual ~ConfigurationDecoder() = default;
  /// Errors: TooLarge, Malformed, InvalidArgument.
  virtual Result<Template> DecodeTemplate(std::string_view aText) const = 0;
  /// Errors: TooLarge, Malformed, InvalidArgument.
  virtual Result<AccountParameters> DecodeParameters(
    std::string_view aText) const = 0;
  /// Decodes an object that holds a complete configuration, which uses no
  /// template. Nothing when the object holds parameters of a template.
  virtual std::optional<Result<Configuration>> DecodeConfiguration(
    const Document& /*aDocument*/) const
  {
    return std::nullopt;
  }
  /// Decodes an order to move traffic. Errors: Malformed, InvalidArgument.
  virtual Result<MoveOrder> DecodeOrder(const Document& aDocument) const
  {
    return Error(ErrorCode::InvalidArgument,
                 "order.decode",
                 "",
                 aDocument.m_key.Value() + " is not supported by this decoder");
  }
};

} // namespace tarragontray
