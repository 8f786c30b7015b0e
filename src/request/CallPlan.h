/// \file
/// The plan of one call at the node that took it from its caller: which target
/// to try, when to try another, what to say in the end.
///
///     CallPlan plan = CallPlan::Start(setup);
///     Step step = plan.Begin(now);
///     // SendAttempt: send it; later OnAnswer, OnLost or OnTimer.
///     // AskOperation: ask over a fresh connection; later OnOperationStatus,
///     //   OnAskFailed or OnTimer.
///     // WaitUntil: OnTimer at that time.
///     // Finish: answer the caller; the plan is over.
///
/// A call is sent again only when it is idempotent or its last attempt was
/// certainly not run. A non-idempotent call whose link was lost after the
/// hand-over is asked about at the same node; only "not received" (by which
/// that node has withdrawn the id) lets another target run it.
///
/// A call with its caller's own key runs only at the key's home, where repeats
/// find it; while a move runs, or when the home joined lately, the places that
/// may have held the key before are asked first. NotRun of such a call speaks
/// for all calls with its key, so it is said on the home's word only. See
/// docs/design/requests.md.
///
/// Each SendAttempt, AskOperation and WaitUntil ends with exactly one event,
/// or with OnTimer at m_deadline. When a step gives Finish while an attempt
/// is still out, the driver cancels that attempt; a later answer to it is
/// dropped by its call id.
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

/// How far a call came on a link that failed.
enum class LostStage : std::uint8_t
{
  /// Nothing of the call was handed to the socket.
  NotSent,
  /// Some of it may have reached the peer.
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
};

/// Ask the node about the operation over a fresh connection; the question
/// (Guard.h) carries m_attempt and m_target->m_incarnation.
struct AskOperation
{
  /// Points into the view.
  const Target* m_target = nullptr;
  /// Attempts up to this one are withdrawn when it was not received.
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

/// What one call's first attempt says about a version. A retry's answer says
/// nothing here, so that it can't hide the first attempt's failure.
struct AttemptObservation
{
  ServiceId m_service;
  RouteName m_route;
  UpstreamVersion m_version;
  VmId m_target;
  bool m_isFirstAttempt = true;
  /// 5xx, late, short or cut.
  bool m_failed = false;
  /// 4xx.
  bool m_isCallerError = false;
  Duration m_latency{ 0 };
};

/// One per call. Movable, not copyable while in use.
class CallPlan
{
public:
  /// Thread safety: the thread that owns aSetup.m_policies.
  static CallPlan Start(const CallSetup& aSetup) { return CallPlan(aSetup); }

  /// The first step. Precondition: no other event came before.
  Step Begin(MonotonicTime aNow);
  /// The whole answer to the attempt that is out.
  Step OnAnswer(const Answer& aAnswer, MonotonicTime aNow);
  /// The link of the attempt failed, or its answer was short or garbled.
  Step OnLost(LostStage aStage, MonotonicTime aNow);
  /// The answer to AskOperation; aAnswer is set for Done.
  Step OnOperationStatus(OperationStatus aStatus,
                         const std::optional<Answer>& aAnswer,
                         MonotonicTime aNow);
  /// The node could not be asked.
  Step OnAskFailed(MonotonicTime aNow);
  /// A WaitUntil is due, or m_deadline has come.
  Step OnTimer(MonotonicTime aNow);

  /// The caller has gone: ends the attempt that is out without a verdict on
  /// its target. Nobody reads the answer.
  Answer Abandon(MonotonicTime aNow);

  /// Observations of all attempts so far, oldest first.
  const std::vector<AttemptObservation>& Observations() const
  {
    return m_observations;
  }
  /// Attempts so far.
  std::uint8_t Attempts() const { return m_attempts; }
  /// The target that was sent to or asked last; empty before the first.
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
    /// A question about the attempt, or about the key's former home.
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
  /// Sends another attempt, or finishes with aAnswer when none may be sent.
  Step RetryOrFinish(Answer aAnswer, RetryReason aReason, MonotonicTime aNow);
  bool MayRetry(RetryReason aReason, MonotonicTime aNow);
  Step OnRefused(const Answer& aAnswer, MonotonicTime aNow);
  Step OnNotReceived(MonotonicTime aNow);
  Step Ask();
  Step AskAgain();
  Step AskLater(MonotonicTime aNow);
  Step End(Answer aAnswer);
  Step EndUnknown();
  /// Ends the attempt that is out: tells the balancing and, when it says
  /// something about the version, keeps an observation.
  void EndAttempt(const Answer* aAnswer, bool aFailed, MonotonicTime aNow);
  void EndAttemptUnobserved(const AttemptResult& aResult, MonotonicTime aNow);
  void Observe(const Answer* aAnswer, bool aFailed, MonotonicTime aNow);
  /// The question is about the key as a whole, not about the last attempt.
  bool IsAskingFormerHome() const
  {
    return m_attempts == 0 || m_next != nullptr;
  }

  TargetSequence m_targets;
  State m_state = State::New;
  /// The target of the attempt or the question that is out.
  const Target* m_target = nullptr;
  /// Where to send the call once a former home has been asked.
  const Target* m_next = nullptr;
  bool m_isAttemptInFlight = false;
  MonotonicTime m_attemptStart{};
  std::uint8_t m_attempts = 0;
  std::uint8_t m_askFailures = 0;
  Duration m_askInterval{ 0 };
  /// An attempt ended without the certainty that it was not run.
  bool m_mayHaveRun = false;
  /// The last whole answer of an upstream, should no retry do better.
  std::optional<Answer> m_lastDone;
  std::vector<AttemptObservation> m_observations;
};

} // namespace tarragontray
