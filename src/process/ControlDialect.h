/// \file
/// Interface that decodes HTTP requests to the control thread, independent of
/// the server that receives them.
///
/// NativeControlDialect (process/StatusJson.h) implements docs/PROTOCOLS.md.
///
/// Thread safety: implementations are immutable and may be used from any
/// thread.
#pragma once

#include <optional>
#include <variant>

#include "base/Result.h"
#include "process/UpstreamRegister.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Asks whether this node is ready to serve calls.
struct ReadinessQuery
{};

/// Requests from platforms and upstreams. Requests from operators do not depend
/// on the dialect.
using ControlRequest = std::variant<ReadinessQuery, UpstreamReport>;

class ControlDialect
{
public:
  virtual ~ControlDialect() = default;
  /// Decodes a request; nullopt when it is not a control request. Errors:
  /// Malformed, InvalidArgument.
  virtual std::optional<Result<ControlRequest>> Read(
    const HttpRequestParts& aRequest) const = 0;
  /// The response to an accepted announcement.
  virtual HttpAnswerParts Acknowledge() const = 0;
};

} // namespace tarragontray
