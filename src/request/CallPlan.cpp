#include "request/CallPlan.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

constexpr Duration kFirstAskInterval = std::chrono::milliseconds(5);
constexpr Duration kMaxAskInterval = std::chrono::milliseconds(200);
/// Failed queries about an attempt after which its outcome is unknown. With the
/// growing interval, they span at least 0.7 s, so that a cut that ends within
/// that time leaves no outcome unknown.
constexpr std::uint8_t kMaxAskFailures = 9;
/// As above, of queries to a former home of the call's key. Its caller can
/// repeat the key at once.
constexpr std::uint8_t kMaxFormerHomeFailures = 3;
/// A call is withdrawn from its guard's queue this long before its deadline,
/// but not before the last 1 / kWithdrawDivisor of its time. Covers the way to
/// the guard and back, some 3 ms between data centres, and the pauses of two
/// nodes that have a tenth of a core each.
constexpr Duration kWithdrawMargin = std::chrono::milliseconds(30);
constexpr int kWithdrawDivisor = 16;
/// An attempt that waited for less than 1 / kMinWaitDivisor of its route's
/// timeout is not evidence about the version: it was a late retry, or the
/// caller's deadline was short.
constexpr int kMinWaitDivisor = 2;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::uint16_t kFirstCallerError = 400;

bool
IsServerError(const Answer& aAnswer)
{
  return aAnswer.m_http.m_status >= kFirstServerError;
}

/// A peer's answer that no upstream can have given: the call may have run.
bool
IsInvalid(const Answer& aAnswer)
{
  return aAnswer.m_outcome == CallOutcome::Done &&
         !IsFinalStatus(aAnswer.m_http.m_status);
}

bool
IsCallerError(const Answer& aAnswer)
{
  return aAnswer.m_http.m_status >= kFirstCallerError &&
         aAnswer.m_http.m_status < kFirstServerError;
}

Answer
NotRun(RefusalReason aReason)
{
  Answer answer;
  answer.m_outcome = CallOutcome::NotRun;
  answer.m_refusal = aReason;
  return answer;
}

RetryReason
ReasonOf(RefusalReason aRefusal)
{
  switch (aRefusal) {
    case RefusalReason::Draining:
    case RefusalReason::Evacuated:
      return RetryReason::Draining;
    case RefusalReason::UpstreamGone:
    case RefusalReason::NoConfiguration:
      return RetryReason::TargetGone;
    case RefusalReason::UpstreamShed:
      return RetryReason::Shed;
    default:
      return RetryReason::Overload;
  }
}

} // namespace

Step
CallPlan::Begin(MonotonicTime aNow)
{
  const Duration remaining = Setup().m_deadline - aNow;
  m_withdrawAt = Setup().m_deadline -
                 std::min(kWithdrawMargin, remaining / kWithdrawDivisor);
  if (aNow >= Setup().m_deadline) {
    return m_targets.IsPinned() ? EndUnknown()
                                : End(NotRun(RefusalReason::DeadlineTooShort));
  }
  return AskFormerHomeOrSend(aNow);
}

Step
CallPlan::AskFormerHomeOrSend(MonotonicTime aNow)
{
  m_target = m_targets.NextFormerHome(aNow);
  return m_target != nullptr ? Ask() : SendFirst(aNow);
}

Step
CallPlan::SendFirst(MonotonicTime aNow)
{
  if (const std::optional<Duration> wait = m_targets.WaitEverywhere(aNow)) {
    m_retryAfter = std::min(m_retryAfter, *wait);
    return End(NotRun(RefusalReason::DeadlineTooShort));
  }
  const Target* target = m_targets.First(aNow);
  if (target == nullptr) {
    return End(NotRun(RefusalReason::NoTarget));
  }
  Setup().m_policies.m_retries.OnFirstAttempt(Setup().m_service.m_id, aNow);
  return Send(*target, aNow);
}

Step
CallPlan::OnAnswer(const Answer& aAnswer, MonotonicTime aNow)
{
  if (IsInvalid(aAnswer)) {
    return OnAnswer(Answer{}, aNow);
  }
  if (aAnswer.m_outcome == CallOutcome::NotRun) {
    return OnRefused(aAnswer, aNow);
  }
  const bool failed = aAnswer.m_outcome == CallOutcome::Unknown ||
                      IsServerError(aAnswer) || aNow > Setup().m_deadline;
  EndAttempt(&aAnswer, failed, aNow);
  m_mayHaveRun = true;
  if (aAnswer.m_outcome == CallOutcome::Done) {
    m_lastDone = aAnswer;
  }
  if (failed && Setup().m_route.m_idempotent) {
    return RetryOrFinish(aAnswer, RetryReason::Failed, aNow);
  }
  return End(aAnswer);
}

Step
CallPlan::OnRefused(const Answer& aAnswer, MonotonicTime aNow)
{
  // A refusal by the guard means that the target is full; shedding by the
  // upstream counts as a failure of the target.
  const bool isShed = aAnswer.m_refusal == RefusalReason::UpstreamShed;
  EndAttemptUnobserved(
    { .m_failed = isShed, .m_isRefused = !isShed, .m_load = aAnswer.m_load },
    aNow);
  const bool isWithdrawn =
    aAnswer.m_refusal == RefusalReason::WithdrawnOperation;
  if (m_targets.IsPinned() && isWithdrawn) {
    // Another call with this key withdrew the operation here and may have run
    // it at another target.
    return EndUnknown();
  }
  const RetryReason reason = ReasonOf(aAnswer.m_refusal);
  // While the home is draining, calls with the key may run at its next home,
  // which may be missing from this view.
  const bool provesNotRun =
    reason != RetryReason::Draining || !m_targets.IsPinned();
  Answer refused = provesNotRun ? aAnswer : Answer{};
  if (reason == RetryReason::Overload) {
    m_targets.RecordRefusal(*m_target, aAnswer.m_retryAfter, aNow);
  }
  if (aAnswer.m_retryAfter > Duration::zero()) {
    m_retryAfter = std::min(m_retryAfter, aAnswer.m_retryAfter);
  }
  return RetryOrFinish(std::move(refused), reason, aNow);
}

Step
CallPlan::OnLost(LostStage aStage, MonotonicTime aNow)
{
  if (aStage == LostStage::NotSent) {
    EndAttemptUnobserved({ .m_failed = true }, aNow);
    // Only the home can confirm that no call with the key ran.
    const Answer answer =
      m_targets.IsPinned() ? Answer{} : NotRun(RefusalReason::NoTarget);
    return RetryOrFinish(answer, RetryReason::NotSent, aNow);
  }
  if (Setup().m_route.m_idempotent) {
    EndAttempt(nullptr, true, aNow);
    m_mayHaveRun = true;
    return RetryOrFinish(Answer{}, RetryReason::Failed, aNow);
  }
  return Ask();
}

Step
CallPlan::OnOperationStatus(OperationStatus aStatus,
                            const std::optional<Answer>& aAnswer,
                            MonotonicTime aNow)
{
  switch (aStatus) {
    case OperationStatus::Done:
      if (aAnswer) {
        return IsAskingFormerHome()
                 ? End(IsInvalid(*aAnswer) ? Answer{} : *aAnswer)
                 : OnAnswer(*aAnswer, aNow);
      }
      break;
    case OperationStatus::Running:
      m_askFailures = 0;
      return AskLater(aNow);
    case OperationStatus::NotReceived:
      return OnNotReceived(aNow);
    case OperationStatus::Forgotten:
      break;
  }
  EndAttempt(nullptr, true, aNow);
  return EndUnknown();
}

Step
CallPlan::OnNotReceived(MonotonicTime aNow)
{
  if (m_next != nullptr) {
    return Send(*std::exchange(m_next, nullptr), aNow);
  }
  if (IsAskingFormerHome()) {
    return AskFormerHomeOrSend(aNow);
  }
  EndAttemptUnobserved({ .m_failed = true }, aNow);
  // A draining home doesn't know which operations the next home ran.
  const Answer answer =
    m_targets.IsPinned() ? Answer{} : NotRun(RefusalReason::NoTarget);
  return RetryOrFinish(answer, RetryReason::NotReceived, aNow);
}

Step
CallPlan::OnAskFailed(MonotonicTime aNow)
{
  ++m_askFailures;
  if (m_askFailures <
      (IsAskingFormerHome() ? kMaxFormerHomeFailures : kMaxAskFailures)) {
    return AskLater(aNow);
  }
  EndAttempt(nullptr, true, aNow);
  return EndUnknown();
}

Step
CallPlan::OnTimer(MonotonicTime aNow)
{
  if (aNow < Setup().m_deadline) {
    return m_state == State::WaitingToAsk ? AskAgain()
                                          : WaitUntil{ Setup().m_deadline };
  }
  const bool isConclusive =
    aNow - m_attemptStart >= Setup().m_route.m_timeout / kMinWaitDivisor;
  if (isConclusive) {
    EndAttempt(nullptr, true, aNow);
  } else {
    EndAttemptUnobserved({ .m_failed = true }, aNow);
  }
  return m_lastDone ? End(*m_lastDone) : EndUnknown();
}

Answer
CallPlan::Abandon(MonotonicTime aNow)
{
  EndAttemptUnobserved({ .m_isAbandoned = true }, aNow);
  m_state = State::Finished;
  return Answer{};
}

Step
CallPlan::Send(const Target& aTarget, MonotonicTime aNow)
{
  m_state = State::AttemptInFlight;
  m_target = &aTarget;
  m_isAttemptInFlight = true;
  m_attemptStart = aNow;
  ++m_attempts;
  Setup().m_policies.m_balancing.Started(aTarget.m_vm, aNow);
  SendAttempt send;
  send.m_target = &aTarget;
  send.m_attempt = m_attempts;
  send.m_version = aTarget.m_version;
  send.m_timeRemaining = Setup().m_deadline - aNow;
  send.m_withdrawAfter = std::max(m_withdrawAt - aNow, Duration(0));
  if (Setup().m_objective != MonotonicTime::max()) {
    send.m_objectiveRemaining =
      std::max(Setup().m_objective - aNow, Duration(0));
  }
  return send;
}

Step
CallPlan::RetryOrFinish(Answer aAnswer, RetryReason aReason, MonotonicTime aNow)
{
  if (aNow < m_withdrawAt && m_attempts < Setup().m_route.m_maxAttempts) {
    const Target* target = m_targets.Next(aReason, aNow);
    if (target != nullptr && MayRetry(aReason, aNow)) {
      const Target* former = m_targets.FormerHomeOfNext(aNow);
      if (former == nullptr || aReason != RetryReason::Draining) {
        return Send(*target, aNow);
      }
      m_next = target;
      m_target = former;
      return Ask();
    }
  }
  if (aAnswer.m_outcome != CallOutcome::Done && m_lastDone) {
    return End(*m_lastDone);
  }
  return m_mayHaveRun && aAnswer.m_outcome == CallOutcome::NotRun
           ? EndUnknown()
           : End(std::move(aAnswer));
}

bool
CallPlan::MayRetry(RetryReason aReason, MonotonicTime aNow)
{
  // The other reasons don't add load: a call that was not handed over runs only
  // once, and a draining target runs none. A call with an objective that a
  // guard refused goes only to a target that seems to have capacity.
  const bool hasObjective = Setup().m_objective != MonotonicTime::max();
  const bool addsLoad = aReason == RetryReason::Failed ||
                        aReason == RetryReason::Shed ||
                        (aReason == RetryReason::Overload && !hasObjective);
  return !addsLoad || Setup().m_policies.m_retries.TryRetry(
                        Setup().m_service.m_id, m_attempts, aNow);
}

Step
CallPlan::Ask()
{
  m_askInterval = kFirstAskInterval;
  m_askFailures = 0;
  return AskAgain();
}

Step
CallPlan::AskAgain()
{
  m_state = State::AskPending;
  return AskOperation{ m_target,
                       IsAskingFormerHome() ? kAllAttempts : m_attempts };
}

Step
CallPlan::AskLater(MonotonicTime aNow)
{
  m_state = State::WaitingToAsk;
  // The last query comes when there is just time for its answer.
  const MonotonicTime latest =
    aNow < m_withdrawAt ? m_withdrawAt : Setup().m_deadline;
  const MonotonicTime next = std::min(aNow + m_askInterval, latest);
  m_askInterval = std::min(m_askInterval * 2, kMaxAskInterval);
  return WaitUntil{ next };
}

Step
CallPlan::End(Answer aAnswer)
{
  m_state = State::Finished;
  const bool isStated = m_retryAfter != Duration::max();
  if (isStated && aAnswer.m_outcome == CallOutcome::NotRun) {
    aAnswer.m_retryAfter = m_retryAfter;
  }
  return Finish{ std::move(aAnswer) };
}

Step
CallPlan::EndUnknown()
{
  Answer answer;
  answer.m_outcome = CallOutcome::Unknown;
  return End(std::move(answer));
}

void
CallPlan::EndAttempt(const Answer* aAnswer, bool aFailed, MonotonicTime aNow)
{
  if (!m_isAttemptInFlight) {
    return;
  }
  RecordObservation(aAnswer, aFailed, aNow);
  AttemptResult result;
  result.m_failed = aFailed;
  if (aAnswer != nullptr) {
    result.m_serviceTime = aAnswer->m_serviceTime;
    result.m_load = aAnswer->m_load;
  }
  EndAttemptUnobserved(result, aNow);
}

void
CallPlan::EndAttemptUnobserved(const AttemptResult& aResult, MonotonicTime aNow)
{
  if (!m_isAttemptInFlight) {
    return;
  }
  m_isAttemptInFlight = false;
  AttemptResult result = aResult;
  result.m_latency = aNow - m_attemptStart;
  Setup().m_policies.m_balancing.Finished(m_target->m_vm, result, aNow);
}

void
CallPlan::RecordObservation(const Answer* aAnswer,
                            bool aFailed,
                            MonotonicTime aNow)
{
  const bool isCallerError = aAnswer != nullptr && IsCallerError(*aAnswer);
  // Queueing time is not evidence about the version.
  const bool isTimed =
    aAnswer != nullptr && aAnswer->m_serviceTime > Duration::zero();
  const Duration latency =
    isTimed ? aAnswer->m_serviceTime : aNow - m_attemptStart;
  m_observations.push_back({ Setup().m_service.m_id,
                             Setup().m_route.m_name,
                             m_target->m_version,
                             m_target->m_vm,
                             m_attempts == 1,
                             aFailed,
                             isCallerError,
                             latency });
}

} // namespace tarragontray
