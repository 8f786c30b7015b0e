/// \file
/// Turns the bytes of configuration objects into values.
///
///     Result<Template> shared = decoder.DecodeTemplate(document.m_body);
///
/// JsonConfigurationDecoder (version/ConfigurationJson.h) is the one in use.
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
  /// A configuration that stands whole in its object, without a template.
  /// Nothing when the object holds parameters of a template.
  virtual std::optional<Result<Configuration>> DecodeConfiguration(
    const Document& /*aDocument*/) const
  {
    return std::nullopt;
  }
  /// An order to move traffic. Errors: Malformed, InvalidArgument.
  virtual Result<MoveOrder> DecodeOrder(const Document& aDocument) const
  {
    return Error(ErrorCode::InvalidArgument,
                 "order.decode",
                 "",
                 aDocument.m_key.Value() + " is not known here");
  }
};

} // namespace tarragontray
