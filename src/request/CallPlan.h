/// \file
/// State machine of one call at its entry node: which target to try, when to
/// retry, and which answer to give the caller.
///
///     CallPlan plan = CallPlan::Start(setup);
///     Step step = plan.Begin(now);
///     // SendAttempt: send the call, then OnAnswer, OnLost or OnTimer.
///     // AskOperation: ask over a new connection, then OnOperationStatus,
///     //   OnAskFailed or OnTimer.
///     // WaitUntil: OnTimer at that time.
///     // Finish: answer the caller; the plan has ended.
///
/// A call is retried only when it is idempotent or when its last attempt was
/// certainly not run. When the link of a non-idempotent call is lost after the
/// hand-over, the plan asks the same node about the operation. Only the status
/// "not received", with which that node withdraws the operation id, permits
/// another attempt.
///
/// A call with an idempotency key from its caller runs only at the home of the
/// key, so that repeats of the key reach the guard that holds its record.
/// During a move, and for some time after the home joined, the plan first asks
/// the targets that may have been the home before. NotRun for such a call
/// states that no call with the key ran, so it is returned only when the home
/// confirms it. See docs/design/requests.md.
///
/// A call that all targets have just refused is refused without an attempt.
/// A call that waits in its guard's queue is withdrawn shortly before its
/// deadline, so that its caller hears that it has not run. From then on, no
/// other attempt is sent: there would be no time to learn its outcome.
///
/// Each SendAttempt, AskOperation and WaitUntil is answered by exactly one
/// event, or by OnTimer at CallSetup::m_deadline. When a step returns Finish
/// while an attempt is in flight, the driver cancels that attempt; a later
/// answer to it is discarded by its call id.
///
/// Thread safety: one thread.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/View.h"
#include "request/BalancingPolicy.h"
#include "request/Call.h"
#include "request/TargetSequence.h"

namespace tarragontray {

/// How much of a call was sent before its link failed.
enum class LostStage : std::uint8_t
{
  /// Nothing was handed to the socket.
  NotSent,
  /// The peer may have received the call.
  Sent,
};

/// Send the call to this target.
struct SendAttempt
{
  /// Points into the view.
  const Target* m_target = nullptr;
  /// 1 for the first attempt.
  std::uint8_t m_attempt = 1;
  UpstreamVersion m_version;
  Duration m_timeRemaining{ 0 };
  Duration m_objectiveRemaining = kNoObjective;
  /// Without an answer by then, ask the guard to refuse the call unless it has
  /// started (Guard::Withdraw), and wait on for its answer.
  Duration m_withdrawAfter{ 0 };
};

/// Ask the node about the operation over a new connection. The query (Question
/// in Guard.h) carries m_attempt and m_target->m_incarnation.
struct AskOperation
{
  /// Points into the view.
  const Target* m_target = nullptr;
  /// If the operation was not received, attempts up to this one are withdrawn.
  std::uint8_t m_attempt = 1;
};

/// Call OnTimer at this time.
struct WaitUntil
{
  MonotonicTime m_time{};
};

/// Answer the caller.
struct Finish
{
  Answer m_answer;
};

using Step = std::variant<SendAttempt, AskOperation, WaitUntil, Finish>;

/// The result of one attempt, as evidence about a version. Only first attempts
/// are counted, so that a successful retry can't hide the failure of the first
/// attempt.
struct AttemptObservation
{
  ServiceId m_service;
  RouteName m_route;
  UpstreamVersion m_version;
  VmId m_target;
  bool m_isFirstAttempt = true;
  /// The answer was a 5xx status, late, truncated or missing.
  bool m_failed = false;
  /// The answer was a 4xx status.
  bool m_isCallerError = false;
  Duration m_latency{ 0 };
};

/// One per call. Movable; must not be copied while the call is open.
class CallPlan
{
public:
  /// Thread safety: the thread that owns aSetup.m_policies.
  static CallPlan Start(const CallSetup& aSetup) { return CallPlan(aSetup); }

  /// Returns the first step. Precondition: no event was delivered before.
  Step Begin(MonotonicTime aNow);
  /// The complete answer to the attempt in flight.
  Step OnAnswer(const Answer& aAnswer, MonotonicTime aNow);
  /// The link of the attempt failed, or its answer was truncated or malformed.
  Step OnLost(LostStage aStage, MonotonicTime aNow);
  /// The answer to AskOperation; aAnswer is set for Done.
  Step OnOperationStatus(OperationStatus aStatus,
                         const std::optional<Answer>& aAnswer,
                         MonotonicTime aNow);
  /// The query failed.
  Step OnAskFailed(MonotonicTime aNow);
  /// A WaitUntil is due, or CallSetup::m_deadline has passed.
  Step OnTimer(MonotonicTime aNow);

  /// The caller has disconnected. Ends the attempt in flight without counting
  /// it for or against its target. The returned answer is not sent.
  Answer Abandon(MonotonicTime aNow);

  /// Observations of the completed attempts, oldest first.
  const std::vector<AttemptObservation>& Observations() const
  {
    return m_observations;
  }
  /// Number of attempts sent so far.
  std::uint8_t Attempts() const { return m_attempts; }
  /// The target of the last attempt or query; empty before the first one.
  VmId LastTarget() const
  {
    return m_target == nullptr ? VmId() : m_target->m_vm;
  }
  MonotonicTime Deadline() const { return Setup().m_deadline; }
  bool IsIdempotent() const { return Setup().m_route.m_idempotent; }
  bool IsFinished() const { return m_state == State::Finished; }

private:
  enum class State : std::uint8_t
  {
    New,
    AttemptInFlight,
    /// A query about the last attempt, or to a former home of the key, is
    /// pending.
    AskPending,
    WaitingToAsk,
    Finished,
  };

  explicit CallPlan(const CallSetup& aSetup)
    : m_targets(aSetup)
  {
  }

  const CallSetup& Setup() const { return m_targets.Setup(); }
  Step AskFormerHomeOrSend(MonotonicTime aNow);
  Step SendFirst(MonotonicTime aNow);
  Step Send(const Target& aTarget, MonotonicTime aNow);
  /// Sends another attempt; finishes with aAnswer when none is permitted.
  Step RetryOrFinish(Answer aAnswer, RetryReason aReason, MonotonicTime aNow);
  bool MayRetry(RetryReason aReason, MonotonicTime aNow);
  Step OnRefused(const Answer& aAnswer, MonotonicTime aNow);
  Step OnNotReceived(MonotonicTime aNow);
  Step Ask();
  Step AskAgain();
  Step AskLater(MonotonicTime aNow);
  Step End(Answer aAnswer);
  Step EndUnknown();
  /// Ends the attempt in flight: reports it to the balancing policy and records
  /// an observation.
  void EndAttempt(const Answer* aAnswer, bool aFailed, MonotonicTime aNow);
  void EndAttemptUnobserved(const AttemptResult& aResult, MonotonicTime aNow);
  void RecordObservation(const Answer* aAnswer,
                         bool aFailed,
                         MonotonicTime aNow);
  /// True when the pending query concerns all calls with the key, not the last
  /// attempt.
  bool IsAskingFormerHome() const
  {
    return m_attempts == 0 || m_next != nullptr;
  }

  TargetSequence m_targets;
  State m_state = State::New;
  /// The target of the pending attempt or query.
  const Target* m_target = nullptr;
  /// The target of the next attempt, once its former home has answered.
  const Target* m_next = nullptr;
  bool m_isAttemptInFlight = false;
  MonotonicTime m_attemptStart{};
  std::uint8_t m_attempts = 0;
  /// When a call without an answer is withdrawn; set by Begin.
  MonotonicTime m_withdrawAt{};
  std::uint8_t m_askFailures = 0;
  Duration m_askInterval{ 0 };
  /// An earlier attempt ended and may have run.
  bool m_mayHaveRun = false;
  /// The last complete answer of an upstream; returned when no retry succeeds.
  std::optional<Answer> m_lastDone;
  /// The shortest wait that a refusal has stated; max() when none has. The
  /// caller may return as soon as one of the targets may have capacity.
  Duration m_retryAfter = Duration::max();
  std::vector<AttemptObservation> m_observations;
};

} // namespace tarragontray
