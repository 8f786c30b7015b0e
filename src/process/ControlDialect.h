/// \file
/// What requests to the control part mean, apart from carrying them.
///
/// NativeControlDialect (process/StatusJson.h) is the one of docs/PROTOCOLS.md.
///
/// Thread safety: dialects are immutable and used by any thread.
#pragma once

#include <optional>
#include <variant>

#include "base/Result.h"
#include "process/UpstreamRegister.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Asks whether this node takes callers.
struct ReadinessQuery
{};

/// The requests of platforms and upstreams; operators' are the node's own.
using ControlRequest = std::variant<ReadinessQuery, UpstreamReport>;

class ControlDialect
{
public:
  virtual ~ControlDialect() = default;
  /// Nothing for a request of another kind. Errors: Malformed,
  /// InvalidArgument.
  virtual std::optional<Result<ControlRequest>> Read(
    const HttpRequestParts& aRequest) const = 0;
  /// The answer to an announcement that was taken.
  virtual HttpAnswerParts Acknowledge() const = 0;
};

} // namespace tarragontray
