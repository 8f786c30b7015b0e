/// \file
/// Value types of one call: the request, its outcome and the load report that
/// comes back with it.
///
/// The entry node sends a Call to the node of the chosen upstream and receives
/// an Answer. The outcome of an Answer states whether the upstream executed the
/// call; it is independent of the HTTP status that the upstream returned.
///
/// Thread safety: values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// Whether the upstream executed a call.
enum class CallOutcome : std::uint8_t
{
  /// The upstream ran the call and its complete answer was received.
  Done,
  /// The call was certainly not run; it may be sent to another target.
  NotRun,
  /// The call may have run; no complete answer was received.
  Unknown,
};

/// "done", "not-run" or "unknown", as in logs and the HTTP outcome header.
std::string_view
Name(CallOutcome aOutcome);

/// Why a call was refused.
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
  /// The operation id was already used for a different request.
  OperationMismatch,
  /// The table of operations has no free entry.
  OperationTableFull,
  /// The upstream shed the call although a slot was free.
  UpstreamShed,
  /// The call carries no API key that the configuration knows.
  UnknownCaller,
  /// The node can't tell whether the caller's API key is still valid.
  StaleConfiguration,
  /// The caller's account has used up its rate.
  AccountRate,
  /// The upstream's data centre is being evacuated.
  Evacuated,
};
inline constexpr RefusalReason kLastRefusalReason = RefusalReason::Evacuated;
inline constexpr std::size_t kRefusalReasons =
  static_cast<std::size_t>(kLastRefusalReason) + 1;

/// The stable name of a reason, as in logs, metrics and the x-reason header.
std::string_view
Name(RefusalReason aReason);

/// One HTTP header. The name is in lower case.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

/// The parts of an HTTP request that are forwarded to the upstream.
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

/// The duration of work at this moment, in per cent of its usual duration.
using PacePercent = Amount<struct PacePercentTag, std::uint32_t>;
inline constexpr PacePercent kUsualPace{ 100 };

/// The load of a node's own upstream; sent with every answer.
struct LoadReport
{
  /// Calls that the upstream is running.
  std::uint32_t m_running = 0;
  /// Calls that are waiting in the guard's queue.
  std::uint32_t m_queued = 0;
  /// The slots that calls can use; fewer than the upstream has while it limits
  /// its rate of calls.
  SlotCount m_slots{ 0 };
  /// How long work takes on the upstream's VM at this moment, in per cent of
  /// the usual time.
  PacePercent m_pace = kUsualPace;

  bool operator==(const LoadReport&) const = default;
};

/// How long guards keep completed operations.
inline constexpr Duration kOperationRetention = std::chrono::minutes(10);

/// In a query about an operation: all its attempts, from all entry nodes.
inline constexpr std::uint8_t kAllAttempts = 255;

/// Upper bound of a request or an answer. Nodes buffer both completely.
inline constexpr ByteCount kMaxCallBytes{ 1U << 20U };

/// Time to the objective of a route that states none.
inline constexpr Duration kNoObjective = std::chrono::hours(24);

/// Bodies above this size are sent when the target's node requests them
/// (request/BodyTransfers.h).
inline constexpr ByteCount kMaxInlineBodyBytes{ 8U << 10U };

/// A body that has not been sent with its call.
struct DeferredBody
{
  ByteCount m_size;
  /// StableHash of the body.
  std::uint64_t m_hash = 0;
};

/// One attempt of a call, as the entry node sends it to a target's node.
struct Call
{
  CallId m_id;
  /// The same for all attempts of one operation.
  OperationId m_operation;
  /// The calling account, for fair shares and the ledger. For a call without an
  /// API key, the owner of m_service.
  ClientAccountId m_caller;
  ServiceId m_service;
  RouteName m_route;
  ClassName m_class;
  UpstreamVersion m_version;
  /// The service of the VM that made the call; empty when unknown.
  ServiceName m_origin;
  /// Calls with a lower number run first.
  std::uint8_t m_priority = 0;
  bool m_idempotent = false;
  /// 1 for the first attempt.
  std::uint8_t m_attempt = 1;
  /// Sent as a duration, since the clocks of two nodes may differ.
  Duration m_timeRemaining{ 0 };
  /// Time to the route's latency objective, counted from the caller's first
  /// attempt; zero when the objective has passed.
  Duration m_objectiveRemaining = kNoObjective;
  HttpRequestParts m_http;
  /// When set, m_http has no body yet: the target's node requests it.
  std::optional<DeferredBody> m_deferredBody{};
};

/// What an upstream states about itself in its answers.
struct UpstreamNotice
{
  /// The calls per second that it accepts from all nodes together, for as long
  /// as its answers state it; not set without a limit.
  std::optional<CallRate> m_rateLimit;
  /// It is about to end. Not revoked by later answers.
  bool m_isLeaving = false;
  /// Its own report of its load. Not set without one.
  std::optional<LoadReport> m_load{};
  /// It reported its load in a form that can't be read.
  bool m_isLoadUnreadable = false;
  /// How long it will stay cold. Not set when it doesn't say.
  std::optional<Duration> m_coldRemaining{};

  bool operator==(const UpstreamNotice&) const = default;
};

/// True for the status of a final response. Others that have three digits don't
/// belong to HTTP (RFC 9110, section 15) or to an interim response.
constexpr bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

/// True for the status of an interim response.
constexpr bool
IsInterimStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 199;
}

/// How one attempt ended.
struct Answer
{
  CallId m_id;
  CallOutcome m_outcome = CallOutcome::Unknown;
  RefusalReason m_refusal = RefusalReason::None;
  /// With NotRun: how long the caller should wait before a retry; zero when not
  /// stated.
  Duration m_retryAfter{ 0 };
  /// With Done, a response with a final status.
  HttpAnswerParts m_http;
  LoadReport m_load;
  /// Time in the upstream, without queueing and network time.
  Duration m_serviceTime{ 0 };
  /// Set by the upstream's node when the upstream has answered; not sent to
  /// other nodes.
  std::optional<UpstreamNotice> m_notice{};
};

/// What a guard reports about an operation whose answer was lost.
enum class OperationStatus : std::uint8_t
{
  /// Completed; the stored answer is returned.
  Done,
  /// Waiting or running.
  Running,
  /// Never handed to the upstream; the guard refuses it from now on.
  NotReceived,
  /// May have run; the guard has no stored answer or no record of it.
  Forgotten,
};

std::string_view
Name(OperationStatus aStatus);

} // namespace tarragontray
