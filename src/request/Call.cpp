#include "request/Call.h"

namespace tarragontray {

std::string_view
Name(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Done:
      return "done";
    case CallOutcome::NotRun:
      return "not-run";
    case CallOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view
Name(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::None:
      return "none";
    case RefusalReason::NoConfiguration:
      return "no-configuration";
    case RefusalReason::NoRoute:
      return "no-route";
    case RefusalReason::NoTarget:
      return "no-target";
    case RefusalReason::QueueFull:
      return "queue-full";
    case RefusalReason::DeadlineTooShort:
      return "deadline-too-short";
    case RefusalReason::FairShare:
      return "fair-share";
    case RefusalReason::Draining:
      return "draining";
    case RefusalReason::UpstreamGone:
      return "upstream-gone";
    case RefusalReason::RetryBudget:
      return "retry-budget";
    case RefusalReason::WithdrawnOperation:
      return "withdrawn-operation";
    case RefusalReason::Cancelled:
      return "cancelled";
    case RefusalReason::OperationMismatch:
      return "operation-mismatch";
    case RefusalReason::UpstreamShed:
      return "upstream-shed";
    case RefusalReason::OperationTableFull:
      return "operation-table-full";
    case RefusalReason::UnknownCaller:
      return "unknown-caller";
    case RefusalReason::StaleConfiguration:
      return "stale-configuration";
    case RefusalReason::AccountRate:
      return "account-rate";
    case RefusalReason::Evacuated:
      return "evacuated";
  }
  return "none";
}

std::string_view
Name(OperationStatus aStatus)
{
  switch (aStatus) {
    case OperationStatus::Done:
      return "done";
    case OperationStatus::Running:
      return "running";
    case OperationStatus::NotReceived:
      return "not-received";
    case OperationStatus::Forgotten:
      return "forgotten";
  }
  return "forgotten";
}

} // namespace tarragontray
