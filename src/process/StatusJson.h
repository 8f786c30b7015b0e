/// \file
/// The node's status as JSON; the fields are listed in docs/OPERATIONS.md.
///
///     std::string text = StatusJson(status, figures);
///
/// Thread safety: pure functions.
#pragma once

#include <string>

#include "base/Result.h"
#include "process/ControlCore.h"
#include "process/ControlDialect.h"
#include "process/Metrics.h"
#include "version/MoveStatus.h"

namespace tarragontray {

/// What GET /status answers.
std::string
StatusJson(const ControlStatus& aStatus,
           const ControlStats& aControl,
           const GuardStats& aGuard,
           bool aIsDraining);

/// Errors: Malformed, InvalidArgument with the field's name.
Result<UpstreamReport>
ParseUpstreamReport(const std::string& aText);

/// GET /ready and POST /v1/upstream. Thread safety: any thread.
class NativeControlDialect final : public ControlDialect
{
public:
  std::optional<Result<ControlRequest>> Read(
    const HttpRequestParts& aRequest) const override;
  HttpAnswerParts Acknowledge() const override;
};

/// The platform object of a move's outcome.
std::string
OutcomeJson(const MoveOutcome& aOutcome);

/// What a node keeps at the platform: where others find it, and what outlasts
/// its process.
struct NodeEntry
{
  NetworkAddress m_peerAddress;
  /// The upstream's life that last said that it ends.
  std::optional<UpstreamProcess> m_left;
};

/// The platform object by which nodes find each other.
std::string
NodeJson(const MemberRecord& aNode,
         const std::optional<UpstreamProcess>& aLeft = std::nullopt);

/// Errors: Malformed, InvalidArgument.
Result<NodeEntry>
ParseNode(const std::string& aText);

/// The platform object of a ledger report.
std::string
UsageJson(const UsageReport& aReport);

} // namespace tarragontray
