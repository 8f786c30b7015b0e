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
#include "process/Metrics.h"
#include "version/MoveStatus.h"

namespace tarragontray {

/// What GET /status answers.
std::string
StatusJson(const ControlStatus& aStatus,
           const ControlFigures& aControl,
           const GuardFigures& aGuard,
           bool aIsDraining);

/// What the upstream sends with POST /v1/upstream.
struct UpstreamReport
{
  UpstreamAnnouncement m_announcement;
  NetworkAddress m_address;
};

/// Errors: Malformed, InvalidArgument with the field's name.
Result<UpstreamReport>
ParseUpstreamReport(const std::string& aText);

/// The platform object of a move's outcome.
std::string
OutcomeJson(const MoveOutcome& aOutcome);

/// The platform object of a ledger report.
std::string
UsageJson(const UsageReport& aReport);

} // namespace tarragontray
