#include "request/ObjectiveAdmission.h"

#include <set>

#include <criterion/criterion.h>

#include "request/ServiceTimes.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr Duration kMeanServiceTime = milliseconds(200);
constexpr UpstreamCapacity kBusy{ SlotCount(1), 1, kMeanServiceTime };
constexpr UpstreamCapacity kFree{ SlotCount(1), 0, kMeanServiceTime };

WaitingCall
MakeCall(std::uint64_t aTicket,
         Duration aObjective,
         std::uint8_t aPriority = 1,
         Duration aDeadline = std::chrono::seconds(1))
{
  WaitingCall call;
  call.m_ticket = Ticket(aTicket);
  call.m_priority = aPriority;
  call.m_deadline = kStart + aDeadline;
  call.m_objective = kStart + aObjective;
  call.m_serviceTime = kMeanServiceTime;
  return call;
}

std::unique_ptr<AdmissionPolicy>
MakePolicy(std::size_t aLimit = 8)
{
  AdmissionBounds bounds;
  bounds.m_limit = aLimit;
  return ObjectiveAdmission::Create(bounds).value();
}

std::uint64_t
TakeNext(AdmissionPolicy& aPolicy)
{
  return aPolicy.Next(kFree, kStart).value_or(Ticket(0)).Value();
}

} // namespace

Test(ObjectiveAdmission, OrdersByPriorityThenObjective)
{
  const auto policy = MakePolicy();
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(900)), kBusy, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(2, milliseconds(800)), kBusy, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(3, milliseconds(900), 0), kBusy, kStart).empty());
  cr_assert_eq(TakeNext(*policy), 3);
  cr_assert_eq(TakeNext(*policy), 2);
  cr_assert_eq(TakeNext(*policy), 1);
  cr_assert_eq(TakeNext(*policy), 0);
}

Test(ObjectiveAdmission, TimelyCallsRunBeforeLateOnes)
{
  const auto policy = MakePolicy();
  // A retry after a refusal: its objective has already passed.
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(-1), 0), kBusy, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(2, milliseconds(600), 2), kBusy, kStart).empty());
  cr_assert_eq(TakeNext(*policy), 2);
  cr_assert_eq(TakeNext(*policy), 1);
}

Test(ObjectiveAdmission, CallThatMissesItsObjectiveBecomesLate)
{
  const auto policy = MakePolicy();
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(450), 0), kBusy, kStart).empty());
  const MonotonicTime later = kStart + milliseconds(300);
  cr_assert(policy->TakeExpired(later).empty());
  WaitingCall fresh = MakeCall(2, milliseconds(900), 2);
  cr_assert(policy->Offer(fresh, kBusy, later).empty());
  cr_assert_eq(TakeNext(*policy), 2);
  cr_assert_eq(TakeNext(*policy), 1);
}

Test(ObjectiveAdmission, RefusesCallsThatCannotMeetTheirDeadline)
{
  const auto policy = MakePolicy();
  for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
    cr_assert(
      policy->Offer(MakeCall(ticket, milliseconds(-1)), kBusy, kStart).empty());
  }
  // The running call and four late ones take 1 s, all of its time.
  const auto refused =
    policy->Offer(MakeCall(5, milliseconds(-1)), kBusy, kStart);
  cr_assert_eq(refused.size(), 1);
  cr_assert_eq(refused.front().m_ticket.Value(), 5);
  cr_assert(refused.front().m_reason == RefusalReason::DeadlineTooShort);
  // Waiting calls are refused once less than half of the mean service time
  // remains.
  cr_assert_eq(policy->TakeExpired(kStart + milliseconds(901)).size(), 4);
  cr_assert_eq(policy->Size(), 0);
}

/// Overload: refused callers that are all told the same time return together,
/// and the more urgent ones no earlier than others.
Test(ObjectiveAdmission, ARefusedCallIsToldWhenASlotIsExpectedForItsPriority)
{
  const auto policy = MakePolicy();
  policy->Offer(MakeCall(1, milliseconds(900), 1), kBusy, kStart);
  policy->Offer(MakeCall(2, milliseconds(-1), 1), kBusy, kStart);
  const auto waitOf = [&](const WaitingCall& aCall) {
    return policy->ExpectedStart(aCall, kBusy, kStart);
  };
  // After the running call; after the timely one too; after all.
  cr_assert(waitOf(MakeCall(3, milliseconds(900), 0)) == kMeanServiceTime);
  cr_assert(waitOf(MakeCall(4, milliseconds(900), 2)) == 2 * kMeanServiceTime);
  cr_assert(waitOf(MakeCall(5, milliseconds(-1), 2)) == 3 * kMeanServiceTime);
}

/// Overload: late calls that never got their turn were held until their
/// deadline, when their callers had no time left to try elsewhere.
Test(ObjectiveAdmission, LateCallsThatNeverStartAreHeldUntilTheirDeadline)
{
  const auto policy = MakePolicy(16);
  constexpr UpstreamCapacity kTwoBusy{ SlotCount(2), 2, milliseconds(100) };
  const auto offer = [&](std::uint64_t aTicket, Duration aNow) {
    WaitingCall late = MakeCall(aTicket,
                                milliseconds(-1),
                                aTicket % 2 == 0 ? 0 : 2,
                                std::chrono::seconds(5));
    policy->Offer(late, kTwoBusy, kStart + aNow);
    return policy->TakeExpired(kStart + aNow);
  };
  // Nothing is known yet of how many start.
  for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
    cr_assert(offer(ticket, Duration(0)).empty());
  }
  std::set<std::uint64_t> refused;
  const auto collect = [&](const std::vector<Refused>& aRefused) {
    for (const Refused& call : aRefused) {
      refused.insert(call.m_ticket.Value());
    }
  };
  // For a second, only timely calls start, and keep all slots busy.
  for (int i = 1; i <= 20; ++i) {
    const MonotonicTime now = kStart + i * milliseconds(50);
    const WaitingCall timely =
      MakeCall(100 + i, std::chrono::seconds(3), 1, std::chrono::seconds(5));
    collect(policy->Offer(timely, kTwoBusy, now));
    collect(policy->TakeExpired(now));
    cr_assert(
      policy->Next({ SlotCount(2), 1, milliseconds(100) }, now)->Value() >=
      100);
  }
  // Four seconds before their deadline, all late calls have been refused and no
  // timely one.
  const std::set<std::uint64_t> all{ 1, 2, 3, 4, 5, 6, 7, 8 };
  cr_assert(refused == all, "%zu refused", refused.size());
}

/// A queue that moves keeps its late calls.
Test(ObjectiveAdmission, LateCallsThatStartInTimeAreKept)
{
  const auto policy = MakePolicy(16);
  constexpr UpstreamCapacity kOneFree{ SlotCount(2), 1, milliseconds(100) };
  std::uint64_t ticket = 0;
  for (int i = 0; i < 200; ++i) {
    const MonotonicTime now = kStart + i * milliseconds(50);
    for (int call = 0; call < (i == 0 ? 8 : 1); ++call) {
      WaitingCall late = MakeCall(++ticket, milliseconds(-1));
      late.m_deadline = now + std::chrono::seconds(1);
      policy->Offer(late, kOneFree, now);
    }
    cr_assert(policy->TakeExpired(now).empty(), "at step %d", i);
    cr_assert(policy->Next(kOneFree, now).has_value());
  }
}

Test(ObjectiveAdmission, QuickCallStaysTimelyAfterItsObjective)
{
  const auto policy = MakePolicy();
  WaitingCall quick = MakeCall(1, milliseconds(-1), 1);
  quick.m_serviceTime = milliseconds(40);
  quick.m_isQuick = true;
  cr_assert(policy->Offer(quick, kBusy, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(2, milliseconds(900), 2), kBusy, kStart).empty());
  cr_assert_eq(TakeNext(*policy), 1);
}

Test(ObjectiveAdmission, QuickCallRunsBeforeEarlierObjectivesOfItsPriority)
{
  const auto policy = MakePolicy();
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(400)), kBusy, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(2, milliseconds(900), 0), kBusy, kStart).empty());
  WaitingCall quick = MakeCall(3, milliseconds(-1));
  quick.m_serviceTime = milliseconds(40);
  quick.m_isQuick = true;
  cr_assert(policy->Offer(quick, kBusy, kStart).empty());
  cr_assert_eq(TakeNext(*policy), 2);
  cr_assert_eq(TakeNext(*policy), 3);
  cr_assert_eq(TakeNext(*policy), 1);
}

/// Load: calls that wait as long as they may under overload. Guards against
/// starts that leave only the mean service time to the objective, and against
/// a margin that no call with a short objective could keep.
Test(ObjectiveAdmission, CallKeepsAMarginBeforeItsObjective)
{
  const auto policy = MakePolicy();
  policy->Offer(MakeCall(1, milliseconds(600), 0), kBusy, kStart);
  policy->Offer(MakeCall(2, milliseconds(900), 2), kBusy, kStart);
  // 290 ms remain to the objective of the first call, less than 1.5 times 200.
  const MonotonicTime later = kStart + milliseconds(310);
  policy->TakeExpired(later);
  cr_assert_eq(policy->Next(kFree, later)->Value(), 2);
  // A call that can wait for 60 ms keeps half of them.
  WaitingCall brief = MakeCall(3, milliseconds(310 + 260), 0);
  policy->Offer(brief, kFree, later);
  policy->Offer(MakeCall(4, milliseconds(900), 2), kFree, later);
  policy->TakeExpired(later + milliseconds(25));
  cr_assert_eq(policy->Next(kFree, later)->Value(), 3);
}

/// Load: inner calls of a less urgent kind at upstreams that more urgent calls
/// keep full. Guards against refusing them after their parents' work, and
/// against starving the urgent calls.
Test(ObjectiveAdmission, QuickCallIsRaisedByOnePriorityWithinAThirdOfTheSlots)
{
  const auto policy = MakePolicy(64);
  const auto offer =
    [&](std::uint64_t aTicket, std::uint8_t aPriority, bool aIsQuick) {
      WaitingCall call = MakeCall(
        aTicket, std::chrono::seconds(20), aPriority, std::chrono::seconds(20));
      call.m_isQuick = aIsQuick;
      policy->Offer(call, kFree, kStart);
    };
  offer(1, 1, false);
  offer(2, 0, false);
  offer(3, 2, true);
  cr_assert_eq(TakeNext(*policy), 2);
  cr_assert_eq(TakeNext(*policy), 3);
  cr_assert_eq(TakeNext(*policy), 1);
  // Four calls of 200 ms within 2 s are more than a third of the one slot.
  for (std::uint64_t ticket = 10; ticket < 13; ++ticket) {
    offer(ticket, 2, true);
    cr_assert_eq(TakeNext(*policy), ticket);
  }
  offer(20, 1, false);
  offer(21, 2, true);
  cr_assert_eq(TakeNext(*policy), 20);
}

Test(ServiceTimes, RareLongCallsDetermineWhichRoutesAreQuick)
{
  const RouteName lookup("lookup");
  const RouteName review("review");
  ServiceTimes times;
  cr_assert(!times.IsQuick(lookup));
  // Nine in ten calls are lookups.
  for (int round = 0; round < 50; ++round) {
    times.Record(review, milliseconds(400));
    for (int i = 0; i < 9; ++i) {
      times.Record(lookup, milliseconds(40));
    }
  }
  cr_assert(times.IsQuick(lookup));
  cr_assert(!times.IsQuick(review));
}

Test(ServiceTimes, TheOnlyRouteIsNeverQuick)
{
  const RouteName lookup("lookup");
  ServiceTimes times;
  for (int round = 0; round < 100; ++round) {
    times.Record(lookup, milliseconds(round % 10 == 0 ? 400 : 20));
    cr_assert(!times.IsQuick(lookup));
  }
}

Test(ObjectiveAdmission, FullQueueDropsLateCallsFirst)
{
  const auto policy = MakePolicy(2);
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(900)), kBusy, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(2, milliseconds(-1)), kBusy, kStart).empty());
  const auto dropped =
    policy->Offer(MakeCall(3, milliseconds(900)), kBusy, kStart);
  cr_assert_eq(dropped.size(), 1);
  cr_assert_eq(dropped.front().m_ticket.Value(), 2);
  const auto refused =
    policy->Offer(MakeCall(4, milliseconds(950)), kBusy, kStart);
  cr_assert_eq(refused.front().m_ticket.Value(), 4);
}

Test(ObjectiveAdmission, RemovedCallDoesNotRun)
{
  const auto policy = MakePolicy();
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(900)), kBusy, kStart).empty());
  cr_assert(policy->Remove(Ticket(1)));
  cr_assert(!policy->Remove(Ticket(1)));
  cr_assert_eq(TakeNext(*policy), 0);
}

Test(ObjectiveAdmission, CallThatTheRateLimitKeepsFromItsDeadlineWaits)
{
  const auto policy = MakePolicy();
  UpstreamCapacity limited = kFree;
  limited.m_startInterval = milliseconds(400);
  limited.m_startDelay = milliseconds(300);
  cr_assert(
    policy->Offer(MakeCall(1, milliseconds(900)), limited, kStart).empty());
  cr_assert(
    policy->Offer(MakeCall(2, milliseconds(900)), limited, kStart).empty());
  const std::vector<Refused> refused =
    policy->Offer(MakeCall(3, milliseconds(900)), limited, kStart);
  cr_assert_eq(refused.size(), 1);
  cr_assert(refused[0].m_reason == RefusalReason::DeadlineTooShort);
  // A more urgent call starts first. The last of the others, which could have
  // started after 700 ms, can't start in time any more and is refused at once.
  const std::vector<Refused> displaced =
    policy->Offer(MakeCall(4, milliseconds(900), 0), limited, kStart);
  cr_assert_eq(displaced.size(), 1);
  cr_assert_eq(displaced[0].m_ticket.Value(), 2);
  cr_assert(displaced[0].m_reason == RefusalReason::DeadlineTooShort);
  cr_assert_eq(TakeNext(*policy), 4);
  cr_assert_eq(TakeNext(*policy), 1);
  cr_assert_eq(policy->Size(), 0);
}

namespace {

/// Starts calls of this priority at a limit of ten a second, which they use up.
/// \return the time after them.
MonotonicTime
UseUpLimit(AdmissionPolicy& aPolicy,
           const UpstreamCapacity& aLimited,
           std::uint8_t aPriority)
{
  MonotonicTime now = kStart;
  for (std::uint64_t ticket = 1; ticket <= 50; ++ticket) {
    WaitingCall call = MakeCall(ticket, std::chrono::hours(1), aPriority);
    call.m_deadline = now + std::chrono::hours(1);
    cr_assert(aPolicy.Offer(call, aLimited, now).empty());
    cr_assert(aPolicy.Next(aLimited, now).has_value());
    now += milliseconds(100);
  }
  return now;
}

} // namespace

Test(ObjectiveAdmission, CallWaitsBehindUrgentOnesThatUseUpTheRateLimit)
{
  const auto policy = MakePolicy();
  UpstreamCapacity limited = kFree;
  limited.m_startInterval = milliseconds(100);
  const MonotonicTime now = UseUpLimit(*policy, limited, 0);
  WaitingCall call = MakeCall(51, std::chrono::hours(1));
  call.m_deadline = now + std::chrono::seconds(1);
  limited.m_startDelay = milliseconds(100);
  cr_assert_eq(policy->Offer(call, limited, now).size(), 1);
  // An urgent call has to wait for the next start only.
  call.m_ticket = Ticket(52);
  call.m_priority = 0;
  cr_assert(policy->Offer(call, limited, now).empty());
}

Test(ObjectiveAdmission, LateCallWaitsBehindTimelyOnesThatUseUpTheRateLimit)
{
  const auto policy = MakePolicy();
  UpstreamCapacity limited = kFree;
  limited.m_startInterval = milliseconds(100);
  const MonotonicTime now = UseUpLimit(*policy, limited, 1);
  WaitingCall late = MakeCall(51, milliseconds(0));
  late.m_deadline = now + std::chrono::seconds(1);
  limited.m_startDelay = milliseconds(100);
  cr_assert_eq(policy->Offer(late, limited, now).size(), 1);
  // A timely call of the same priority has to wait for the next start only.
  WaitingCall timely = MakeCall(52, std::chrono::hours(1));
  timely.m_deadline = now + std::chrono::seconds(1);
  cr_assert(policy->Offer(timely, limited, now).empty());
}

} // namespace tarragontray
