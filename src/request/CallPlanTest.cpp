#include "request/CallPlan.h"

#include <string>

#include <criterion/criterion.h>

#include "request/RetryBudget.h"
#include "request/RoundRobinBalancing.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr Duration kTimeout = milliseconds(1'200);

/// An entry node with some targets, whose answers the test gives.
class EntryNode
{
public:
  explicit EntryNode(std::size_t aTargets, bool aIsIdempotent = false)
  {
    m_route.m_idempotent = aIsIdempotent;
    m_route.m_name = RouteName("read");
    m_route.m_timeout = kTimeout;
    m_view.m_split.m_from = UpstreamVersion("v1");
    for (std::size_t i = 0; i < aTargets; ++i) {
      Target& target = m_view.m_targets.emplace_back();
      target.m_vm = VmId("vm-" + std::to_string(i));
      target.m_version = m_view.m_split.m_from;
      target.m_slots = SlotCount(1);
    }
  }

  CallPlan Start(MonotonicTime aNow,
                 std::uint8_t aPriority = 1,
                 Duration aTimeLeft = kTimeout)
  {
    return CallPlan::Start({ .m_route = m_route,
                             .m_service = m_view,
                             .m_operation = OperationId("op"),
                             .m_caller = ClientAccountId("a"),
                             .m_priority = aPriority,
                             .m_deadline = aNow + aTimeLeft,
                             .m_dataCentre = DataCentreId("dc1"),
                             .m_policies = m_policies,
                             .m_objective = aNow + milliseconds(500) });
  }

private:
  RouteSpec m_route;
  ServiceView m_view;
  SeededRandom m_random{ 1 };
  RoundRobinBalancing m_balancing;
  VersionSplitter m_splitter{ m_random };
  RetryBudget m_retries{ RetryBudgetSettings{} };
  RefusalMemory m_refusals;
  TrafficPolicies m_policies{ .m_balancing = m_balancing,
                              .m_splitter = m_splitter,
                              .m_retries = m_retries,
                              .m_random = m_random,
                              .m_refusals = &m_refusals };
};

Answer
Refusal(RefusalReason aReason, Duration aRetryAfter)
{
  Answer answer;
  answer.m_outcome = CallOutcome::NotRun;
  answer.m_refusal = aReason;
  answer.m_retryAfter = aRetryAfter;
  return answer;
}

/// The answer to a call that every target refuses, each with a longer wait.
Answer
RefuseEverywhere(EntryNode& aEntry, MonotonicTime aNow)
{
  CallPlan plan = aEntry.Start(aNow);
  Step step = plan.Begin(aNow);
  Duration wait = milliseconds(300);
  while (std::holds_alternative<SendAttempt>(step)) {
    step = plan.OnAnswer(Refusal(RefusalReason::QueueFull, wait), aNow);
    wait += milliseconds(100);
  }
  return std::get<Finish>(step).m_answer;
}

bool
IsSent(EntryNode& aEntry,
       MonotonicTime aNow,
       std::uint8_t aPriority = 1,
       Duration aTimeLeft = kTimeout)
{
  CallPlan plan = aEntry.Start(aNow, aPriority, aTimeLeft);
  return std::holds_alternative<SendAttempt>(plan.Begin(aNow));
}

} // namespace

/// Overload: the wait of the last refusal hid that another target is expected
/// to have a slot sooner, and a refusal without a wait made it zero.
Test(CallPlan, TheShortestStatedWaitIsTold)
{
  EntryNode entry(2);
  cr_assert(RefuseEverywhere(entry, kStart).m_retryAfter == milliseconds(300));
  EntryNode other(2);
  CallPlan plan = other.Start(kStart);
  plan.Begin(kStart);
  plan.OnAnswer(Refusal(RefusalReason::QueueFull, milliseconds(300)), kStart);
  const Step step =
    plan.OnAnswer(Refusal(RefusalReason::Draining, Duration(0)), kStart);
  cr_assert(std::get<Finish>(step).m_answer.m_retryAfter == milliseconds(300));
}

/// Uneven load: the retry budget of a tenth kept calls that one guard had
/// refused from targets with free slots. Failures stay within the budget.
Test(CallPlan, ARefusedCallIsOfferedToAnotherTargetBeyondTheRetryBudget)
{
  EntryNode entry(2);
  int offered = 0;
  int retried = 0;
  for (int i = 0; i < 40; ++i) {
    const MonotonicTime now = kStart + i * milliseconds(200);
    CallPlan refused = entry.Start(now);
    refused.Begin(now);
    offered += std::holds_alternative<SendAttempt>(refused.OnAnswer(
      Refusal(RefusalReason::QueueFull, milliseconds(100)), now));
    CallPlan shed = entry.Start(now);
    shed.Begin(now);
    retried += std::holds_alternative<SendAttempt>(
      shed.OnAnswer(Refusal(RefusalReason::UpstreamShed, Duration(0)), now));
  }
  cr_assert_eq(offered, 40);
  cr_assert(retried < 30, "%d", retried);
}

/// Overload: calls were offered to guards that had just refused such calls.
Test(CallPlan, ACallThatAllTargetsHaveJustRefusedIsRefusedAtOnce)
{
  EntryNode entry(2);
  RefuseEverywhere(entry, kStart);
  const MonotonicTime now = kStart + milliseconds(50);
  CallPlan plan = entry.Start(now);
  const Step step = plan.Begin(now);
  const auto* finish = std::get_if<Finish>(&step);
  cr_assert(finish != nullptr);
  cr_assert(finish->m_answer.m_outcome == CallOutcome::NotRun);
  cr_assert(finish->m_answer.m_retryAfter == milliseconds(250));
  // A more urgent call, one with more time, or a later one may be accepted.
  cr_assert(IsSent(entry, now, 0));
  cr_assert(IsSent(entry, now, 1, kTimeout + milliseconds(1)));
  cr_assert(IsSent(entry, kStart + RefusalMemory::kTrust));
}

/// A late call is refused where one that can meet its objective starts at once.
Test(CallPlan, ATimelyCallIsOfferedWhereALateOneWasRefused)
{
  EntryNode entry(1);
  CallPlan late = entry.Start(kStart);
  late.Begin(kStart);
  const MonotonicTime now = kStart + milliseconds(600);
  late.OnAnswer(Refusal(RefusalReason::DeadlineTooShort, milliseconds(300)),
                now);
  cr_assert(IsSent(entry, now, 1, milliseconds(590)));
  CallPlan second = entry.Start(now, 1, milliseconds(590));
  second.Begin(now);
  second.OnAnswer(Refusal(RefusalReason::DeadlineTooShort, milliseconds(300)),
                  now);
  cr_assert(!IsSent(entry, now, 1, milliseconds(590)));
}

Test(CallPlan, OneTargetThatHasNotRefusedIsTried)
{
  EntryNode entry(3);
  CallPlan plan = entry.Start(kStart);
  plan.Begin(kStart);
  plan.OnAnswer(Refusal(RefusalReason::QueueFull, milliseconds(300)), kStart);
  cr_assert(IsSent(entry, kStart + milliseconds(1)));
}

/// A peer with a fault, or of an earlier version, passes on bytes that are no
/// response; writing such a status to the caller throws.
Test(CallPlan, APeersAnswerWithoutAValidStatusIsNoAnswer)
{
  for (const std::uint16_t status : { 0, 99, 100, 600, 999, 65'535 }) {
    for (const bool isIdempotent : { false, true }) {
      EntryNode entry(2, isIdempotent);
      CallPlan plan = entry.Start(kStart);
      plan.Begin(kStart);
      Answer answer;
      answer.m_outcome = CallOutcome::Done;
      answer.m_http.m_status = status;
      const Step step = plan.OnAnswer(answer, kStart);
      cr_assert(std::holds_alternative<SendAttempt>(step) == isIdempotent);
      if (const auto* finish = std::get_if<Finish>(&step)) {
        cr_assert(finish->m_answer.m_outcome == CallOutcome::Unknown);
      }
    }
  }
}

} // namespace tarragontray
