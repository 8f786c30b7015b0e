/// \file
/// The values of one call: what a caller asked and how it ended.
///
/// A Call is what node A hands to node B; an Answer is what comes back. An
/// Answer's outcome says what is known of the execution, apart from the HTTP
/// status of the upstream.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// What is known of a call's execution.
enum class CallOutcome : std::uint8_t
{
  /// The upstream ran the call and its whole answer is here.
  Done,
  /// The call was certainly not run; it may be sent elsewhere.
  NotRun,
  /// The call may have run; its answer is not known.
  Unknown,
};

/// "done", "not-run" or "unknown", as in logs and the HTTP outcome header.
std::string_view
Name(CallOutcome aOutcome);

/// Why a call was refused before it was handed to an upstream.
enum class RefusalReason : std::uint8_t
{
  None,
  NoConfiguration,
  NoRoute,
  NoTarget,
  QueueFull,
  DeadlineTooShort,
  FairShare,
  Draining,
  UpstreamGone,
  RetryBudget,
  WithdrawnOperation,
  Cancelled,
  /// The operation id was used before for another request.
  OperationMismatch,
  /// No more operations can be remembered now.
  OperationTableFull,
  /// The upstream itself turned the call away although it had a slot.
  UpstreamShed,
};
inline constexpr RefusalReason kLastRefusalReason = RefusalReason::UpstreamShed;
inline constexpr std::size_t kRefusalReasons =
  static_cast<std::size_t>(kLastRefusalReason) + 1;

/// The stable name of a reason, for logs, metrics and the answer's header.
std::string_view
Name(RefusalReason aReason);

/// One header of HTTP, names in lower case.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

/// The parts of an HTTP request that travel to the upstream.
struct HttpRequestParts
{
  std::string m_method;
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// The parts of an upstream's HTTP answer.
struct HttpAnswerParts
{
  std::uint16_t m_status = 0;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// What a node knows of its own upstream's load; rides on every answer.
struct LoadReport
{
  /// Calls that the upstream runs now.
  std::uint32_t m_running = 0;
  /// Calls that wait in the guard's queue.
  std::uint32_t m_queued = 0;
  SlotCount m_slots{ 0 };
};

/// Time for which guards remember the operations that ended.
inline constexpr Duration kOperationRetention = std::chrono::minutes(10);

/// In a question: whatever attempt of an operation, by whatever entry node.
inline constexpr std::uint8_t kAllAttempts = 255;

/// The most that a call's request or answer may hold: nodes keep each whole.
inline constexpr ByteCount kMaxCallBytes{ 1U << 20U };

/// Stands for an objective that is not stated.
inline constexpr Duration kNoObjective = std::chrono::hours(24);

/// One attempt of a call, as node A sends it to node B.
struct Call
{
  CallId m_id;
  /// The same over all attempts of one operation.
  OperationId m_operation;
  /// The account that calls, for fair shares and the ledger.
  ClientAccountId m_caller;
  ServiceId m_service;
  RouteName m_route;
  ClassName m_class;
  UpstreamVersion m_version;
  /// The service of the VM where the call began; empty when unknown.
  ServiceName m_origin;
  /// Lower runs first.
  std::uint8_t m_priority = 0;
  bool m_idempotent = false;
  /// 1 for the first attempt.
  std::uint8_t m_attempt = 1;
  /// Crosses links as time remaining, never as a wall time.
  Duration m_timeRemaining{ 0 };
  /// Until the route's objective passes, counted from the caller's first try;
  /// zero: it has passed.
  Duration m_objectiveRemaining = kNoObjective;
  HttpRequestParts m_http;
};

/// How one attempt ended.
struct Answer
{
  CallId m_id;
  CallOutcome m_outcome = CallOutcome::Unknown;
  RefusalReason m_refusal = RefusalReason::None;
  /// With NotRun: when the caller may try again; zero says nothing.
  Duration m_retryAfter{ 0 };
  HttpAnswerParts m_http;
  LoadReport m_load;
  /// Time in the upstream, without queue and links.
  Duration m_serviceTime{ 0 };
};

/// What a guard knows of an operation that node A lost sight of.
enum class OperationStatus : std::uint8_t
{
  /// Ran; the kept answer comes with it.
  Done,
  /// Runs now.
  Running,
  /// Never handed over; the guard will refuse it from now on.
  NotReceived,
  /// Ran, but its answer was not kept.
  Forgotten,
};

std::string_view
Name(OperationStatus aStatus);

} // namespace tarragontray
