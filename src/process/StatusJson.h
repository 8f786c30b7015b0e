/// \file
/// JSON encodings of the node's status (fields: docs/OPERATIONS.md), of the
/// upstream's announcements and of the objects that a node stores in the
/// platform.
///
///     std::string text = StatusJson(status, control, guard, isDraining);
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

/// Returns the body of the answer to GET /status.
std::string
StatusJson(const ControlStatus& aStatus,
           const ControlStats& aControl,
           const GuardStats& aGuard,
           bool aIsDraining);

/// Parses the body of POST /v1/upstream. Errors: Malformed when aText is not a
/// JSON object, InvalidArgument with the name of the invalid field.
Result<UpstreamReport>
ParseUpstreamReport(const std::string& aText);

/// The native control protocol: GET /ready and POST /v1/upstream. Thread
/// safety: any thread.
class NativeControlDialect final : public ControlDialect
{
public:
  std::optional<Result<ControlRequest>> Read(
    const HttpRequestParts& aRequest) const override;
  HttpAnswerParts Acknowledge() const override;
};

/// Returns the platform object of a move's outcome.
/// \param aOrder the order that the outcome is recorded with, if any.
std::string
OutcomeJson(const MoveOutcome& aOutcome, const MoveOrder* aOrder = nullptr);

/// A node's registration in the platform: its address for other nodes, and
/// state that must survive a restart of its process.
struct NodeEntry
{
  NetworkAddress m_peerAddress;
  /// The upstream processes that have announced their end.
  DepartedUpstreams m_departed;
};

/// Returns the platform object of a node's registration.
std::string
NodeJson(const MemberRecord& aNode, const DepartedUpstreams& aDeparted = {});

/// Parses a node's registration. Errors: Malformed, InvalidArgument.
Result<NodeEntry>
ParseNode(const std::string& aText);

/// Returns the platform object of a ledger report.
std::string
UsageJson(const UsagePage& aPage);

} // namespace tarragontray
