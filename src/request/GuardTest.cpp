#include "request/Guard.h"

#include <map>
#include <string>

#include <criterion/criterion.h>

#include "request/FairAdmission.h"

namespace tarragontray {

namespace {

using std::chrono::milliseconds;

const ServiceId kService{ ClientAccountId("mesqel-gate"),
                          ServiceName("box-office") };
const UpstreamVersion kVersion("v1");
constexpr MonotonicTime kStart{ std::chrono::hours(1) };

Guard
MakeGuard(std::uint32_t aSlots,
          std::size_t aLimit = 8,
          Share aForeign = Share::All(),
          const GuardSettings& aSettings = {})
{
  auto policy =
    FairAdmission::Create({ kService.m_owner, aLimit, aForeign }).value();
  Guard guard = Guard::Create(aSettings, std::move(policy)).value();
  guard.SetUpstream(
    { kService, kVersion, UpstreamState::Live, SlotCount(aSlots) }, kStart);
  return guard;
}

Call
MakeCall(std::uint64_t aId,
         const std::string& aCaller = "mesqel-gate",
         const std::string& aOperation = "")
{
  Call call;
  call.m_id = CallId(aId);
  call.m_operation =
    OperationId(aOperation.empty() ? "op-" + std::to_string(aId) : aOperation);
  call.m_caller = ClientAccountId(aCaller);
  call.m_service = kService;
  call.m_version = kVersion;
  call.m_timeRemaining = std::chrono::seconds(10);
  return call;
}

Answer
Done(const std::string& aBody)
{
  Answer answer;
  answer.m_outcome = CallOutcome::Done;
  answer.m_http.m_body = aBody;
  return answer;
}

constexpr CallerLink kLink{ 1 };

Question
Ask(const std::string& aCaller, const std::string& aOperation)
{
  return { { ClientAccountId(aCaller), OperationId(aOperation) },
           1,
           Incarnation(1) };
}

} // namespace

Test(Guard, RepeatWhileRunningJoinsAndBothGetTheAnswer)
{
  Guard guard = MakeGuard(1);
  const GuardActions first = guard.Submit(MakeCall(1, "a", "k"), kLink, kStart);
  const GuardActions second =
    guard.Submit(MakeCall(2, "a", "k"), CallerLink(2), kStart);
  cr_assert(first.m_runs.size() == 1 && second.m_runs.empty());
  const GuardActions end =
    guard.Finished(first.m_runs[0].m_ticket, Done("x"), kStart);
  cr_assert(end.m_replies.size() == 2);
  cr_assert(end.m_replies[1].m_answer.m_id == CallId(2));
  const GuardActions third = guard.Submit(MakeCall(3, "a", "k"), kLink, kStart);
  cr_assert(third.m_runs.empty());
  cr_assert(third.m_replies.at(0).m_answer.m_http.m_body == "x");
}

Test(Guard, SameKeyOfAnotherAccountIsAnotherOperation)
{
  Guard guard = MakeGuard(2);
  guard.Submit(MakeCall(1, "a", "k"), kLink, kStart);
  const GuardActions other = guard.Submit(MakeCall(2, "b", "k"), kLink, kStart);
  cr_assert(other.m_runs.size() == 1);
}

Test(Guard, KeyReusedForAnotherRequestIsRefused)
{
  Guard guard = MakeGuard(2);
  guard.Submit(MakeCall(1, "a", "k"), kLink, kStart);
  Call other = MakeCall(2, "a", "k");
  other.m_http.m_body = "another seat";
  const GuardActions actions = guard.Submit(other, kLink, kStart);
  cr_assert(actions.m_replies.at(0).m_answer.m_refusal ==
            RefusalReason::OperationMismatch);
}

Test(Guard, CancelRacesWithTheEndOfTheRun)
{
  Guard guard = MakeGuard(1);
  const Ticket running =
    guard.Submit(MakeCall(1), kLink, kStart).m_runs.at(0).m_ticket;
  guard.Submit(MakeCall(2), kLink, kStart);
  // A waiting call was certainly not run. A running non-idempotent call
  // continues.
  const GuardActions waiting = guard.Cancel(kLink, CallId(2), kStart);
  cr_assert(waiting.m_replies.at(0).m_answer.m_outcome == CallOutcome::NotRun);
  const GuardActions cancelled = guard.Cancel(kLink, CallId(1), kStart);
  cr_assert(cancelled.m_aborts.empty() && cancelled.m_replies.empty());
  guard.Finished(running, Done("x"), kStart);
  const AskResult asked = guard.Ask(Ask("mesqel-gate", "op-1"), kStart);
  cr_assert(asked.m_status == OperationStatus::Done);
  cr_assert(guard.Cancel(kLink, CallId(1), kStart).m_replies.empty());
  cr_assert(guard.IsIdle());
}

/// Overload: the entry node withdraws a call shortly before its deadline. Only
/// a call that can't run any more may be answered with NotRun.
Test(Guard, OnlyAWaitingCallIsWithdrawn)
{
  Guard guard = MakeGuard(1);
  Call idempotent = MakeCall(1);
  idempotent.m_idempotent = true;
  const Ticket running =
    guard.Submit(idempotent, kLink, kStart).m_runs.at(0).m_ticket;
  guard.Submit(MakeCall(2), kLink, kStart);
  guard.Submit(MakeCall(3, "a", "k"), kLink, kStart);
  guard.Submit(MakeCall(4, "a", "k"), CallerLink(2), kStart);
  const GuardActions waiting = guard.Withdraw(kLink, CallId(2), kStart);
  cr_assert(waiting.m_replies.at(0).m_answer.m_outcome == CallOutcome::NotRun);
  // A run is neither aborted nor does it lose its caller; call 4 may still run
  // the operation of call 3.
  for (const CallId id : { CallId(1), CallId(3), CallId(9) }) {
    const GuardActions actions = guard.Withdraw(kLink, id, kStart);
    cr_assert(actions.m_aborts.empty() && actions.m_replies.empty());
  }
  const GuardActions end = guard.Finished(running, Done("x"), kStart);
  cr_assert_eq(end.m_replies.size(), 1);
  cr_assert_eq(end.m_runs.size(), 1);
}

/// Overload on a slow link: the refusal of an expired call arrived after its
/// deadline, so that its caller heard that it may have run.
Test(Guard, AnExpiringCallIsRefusedEarlyEnoughForItsReply)
{
  Guard guard = MakeGuard(1);
  guard.Submit(MakeCall(1), kLink, kStart);
  Call call = MakeCall(2);
  call.m_timeRemaining = milliseconds(1'000);
  guard.Submit(call, kLink, kStart);
  const MonotonicTime due = guard.NextTick().value();
  cr_assert(due <= kStart + milliseconds(990));
  cr_assert(due >= kStart + milliseconds(950));
  const GuardActions late = guard.Tick(due + milliseconds(1));
  cr_assert(late.m_replies.at(0).m_answer.m_outcome == CallOutcome::NotRun);
}

/// Overload: a refusal stated no wait unless the upstream limited its rate, so
/// that callers returned after a fixed time.
Test(Guard, ARefusalStatesWhenASlotIsExpected)
{
  Guard guard = MakeGuard(1, 2);
  const Ticket first =
    guard.Submit(MakeCall(1), kLink, kStart).m_runs.at(0).m_ticket;
  guard.Submit(MakeCall(2), kLink, kStart);
  const MonotonicTime later = kStart + milliseconds(100);
  guard.Finished(first, Done("x"), later);
  guard.Submit(MakeCall(3), kLink, later);
  guard.Submit(MakeCall(4), kLink, later);
  const GuardActions full = guard.Submit(MakeCall(5), kLink, later);
  const Answer& refusal = full.m_replies.at(0).m_answer;
  cr_assert(refusal.m_outcome == CallOutcome::NotRun);
  // The running call and two waiting ones, of 100 ms each.
  cr_assert(refusal.m_retryAfter == milliseconds(300));
  cr_assert(full.m_refused.at(0).m_retryAfter == milliseconds(300));
}

Test(Guard, ClosedLinkAbortsOnlyIdempotentRuns)
{
  Guard guard = MakeGuard(2);
  Call idempotent = MakeCall(1);
  idempotent.m_idempotent = true;
  const Ticket first =
    guard.Submit(idempotent, kLink, kStart).m_runs.at(0).m_ticket;
  guard.Submit(MakeCall(2), kLink, kStart);
  guard.Submit(MakeCall(3), kLink, kStart);
  const GuardActions closed = guard.LinkClosed(kLink, kStart);
  cr_assert(closed.m_aborts.size() == 1);
  cr_assert(closed.m_aborts[0].m_ticket == first);
  cr_assert(guard.Load().m_queued == 0);
}

Test(Guard, DrainRefusesWaitingAndNewCallsAndLetsRunsEnd)
{
  Guard guard = MakeGuard(1);
  const Ticket running =
    guard.Submit(MakeCall(1), kLink, kStart).m_runs.at(0).m_ticket;
  guard.Submit(MakeCall(2), kLink, kStart);
  const GuardActions drained = guard.Drain(kStart);
  cr_assert(drained.m_replies.at(0).m_answer.m_refusal ==
            RefusalReason::Draining);
  const GuardActions late = guard.Submit(MakeCall(3), kLink, kStart);
  cr_assert(late.m_runs.empty());
  cr_assert(late.m_replies.at(0).m_answer.m_outcome == CallOutcome::NotRun);
  cr_assert(!guard.IsIdle());
  const GuardActions end = guard.Finished(running, Done("x"), kStart);
  cr_assert(end.m_replies.at(0).m_answer.m_http.m_body == "x");
  cr_assert(guard.IsIdle());
}

Test(Guard, RefusesCallsThatCannotMeetTheirDeadline)
{
  Guard guard = MakeGuard(1);
  const Ticket first =
    guard.Submit(MakeCall(1), kLink, kStart).m_runs.at(0).m_ticket;
  guard.Finished(first, Done("x"), kStart + milliseconds(100));
  guard.Submit(MakeCall(2), kLink, kStart + milliseconds(100));
  Call hasty = MakeCall(3);
  hasty.m_timeRemaining = milliseconds(90);
  const GuardActions refused =
    guard.Submit(hasty, kLink, kStart + milliseconds(100));
  cr_assert(refused.m_replies.at(0).m_answer.m_refusal ==
            RefusalReason::DeadlineTooShort);
  Call patient = MakeCall(4);
  patient.m_timeRemaining = milliseconds(200);
  guard.Submit(patient, kLink, kStart + milliseconds(100));
  cr_assert(guard.Load().m_queued == 1);
  // The running call takes longer than its expected service time.
  const GuardActions late = guard.Tick(kStart + milliseconds(290));
  cr_assert(late.m_replies.at(0).m_answer.m_outcome == CallOutcome::NotRun);
}

Test(Guard, SlowRoutesDoNotRefuseQuickOnes)
{
  Guard guard = MakeGuard(2);
  MonotonicTime now = kStart;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    Call call = MakeCall(id);
    const bool isLookup = id == 1;
    call.m_route = RouteName(isLookup ? "lookup" : "booking");
    const Ticket ticket = guard.Submit(call, kLink, now).m_runs.at(0).m_ticket;
    now += milliseconds(isLookup ? 1 : 500);
    guard.Finished(ticket, Done(""), now);
  }
  Call booking = MakeCall(100);
  booking.m_route = RouteName("booking");
  booking.m_timeRemaining = milliseconds(20);
  cr_assert(guard.Submit(booking, kLink, now).m_runs.empty());
  cr_assert(guard.RefusedFor(RefusalReason::DeadlineTooShort) == 1);
  Call lookup = booking;
  lookup.m_id = CallId(101);
  lookup.m_operation = OperationId("lookup");
  lookup.m_route = RouteName("lookup");
  cr_assert(guard.Submit(lookup, kLink, now).m_runs.size() == 1);
}

Test(Guard, FullTableRefusesInsteadOfEvictingEarly)
{
  GuardSettings settings;
  settings.m_operations.m_maxEntries = 1;
  Guard guard = MakeGuard(4, 8, Share::All(), settings);
  const Ticket first =
    guard.Submit(MakeCall(1), kLink, kStart).m_runs.at(0).m_ticket;
  guard.Finished(first, Done("x"), kStart);
  const MonotonicTime soon = kStart + kMinRetention - milliseconds(1);
  cr_assert(guard.Submit(MakeCall(2), kLink, soon).m_runs.empty());
  cr_assert(guard.OperationCounters().m_refused == 1);
  // Without room for a withdrawal, the guard must not answer NotReceived.
  const Question question = Ask("a", "other");
  cr_assert(guard.Ask(question, soon).m_status == OperationStatus::Forgotten);
  const MonotonicTime later = kStart + kMinRetention;
  cr_assert(guard.Submit(MakeCall(3), kLink, later).m_runs.size() == 1);
}

Test(Guard, StoredAnswersAreBoundedAndTheRunIsStillRecorded)
{
  GuardSettings settings;
  settings.m_operations.m_maxAnswerBytes = ByteCount(4096);
  Guard guard = MakeGuard(4, 8, Share::All(), settings);
  for (std::uint64_t i = 1; i <= 2; ++i) {
    const Ticket ticket =
      guard.Submit(MakeCall(i), kLink, kStart).m_runs.at(0).m_ticket;
    guard.Finished(ticket, Done(std::string(3000, 'x')), kStart);
  }
  cr_assert(guard.Ask(Ask("mesqel-gate", "op-1"), kStart).m_status ==
            OperationStatus::Forgotten);
  cr_assert(guard.Ask(Ask("mesqel-gate", "op-2"), kStart).m_status ==
            OperationStatus::Done);
  const GuardActions repeat = guard.Submit(MakeCall(1), kLink, kStart);
  cr_assert(repeat.m_runs.empty());
  cr_assert(repeat.m_replies.at(0).m_answer.m_outcome == CallOutcome::Unknown);
}

/// Offers the calls of each account at its rate for ten seconds, with a service
/// time of 10 ms on four slots, and counts the runs by account.
std::map<std::string, int>
RunLoad(Guard& aGuard, const std::map<std::string, int>& aCallsPerTick)
{
  std::map<std::string, int> runs;
  std::vector<Ticket> running;
  std::uint64_t id = 0;
  MonotonicTime now = kStart;
  const auto start = [&](const GuardActions& aActions) {
    for (const struct Run& run : aActions.m_runs) {
      ++runs[run.m_call.m_caller.Value()];
      running.push_back(run.m_ticket);
    }
  };
  for (int tick = 0; tick < 1000; ++tick) {
    now += milliseconds(10);
    for (const Ticket ticket : std::exchange(running, {})) {
      start(aGuard.Finished(ticket, Done(""), now));
    }
    for (const auto& [account, calls] : aCallsPerTick) {
      for (int i = 0; i < calls; ++i) {
        start(aGuard.Submit(MakeCall(++id, account), kLink, now));
      }
    }
  }
  return runs;
}

Test(FairAdmission, OverloadingAccountDelaysOnlyItself)
{
  Guard guard = MakeGuard(4, 16);
  std::map<std::string, int> runs =
    RunLoad(guard, { { "flood", 40 }, { "quiet", 1 }, { "steady", 1 } });
  cr_assert(runs["quiet"] >= 990, "quiet ran %d of 1000", runs["quiet"]);
  cr_assert(runs["steady"] >= 990, "steady ran %d of 1000", runs["steady"]);
  // The remaining capacity goes to the flooding account.
  cr_assert(runs["flood"] >= 1980, "flood ran %d", runs["flood"]);
}

Test(FairAdmission, AccountsTakeTurnsWhateverTheOrderOfArrival)
{
  Guard guard = MakeGuard(1);
  Ticket running =
    guard.Submit(MakeCall(1, "first"), kLink, kStart).m_runs.at(0).m_ticket;
  for (std::uint64_t id = 2; id <= 5; ++id) {
    guard.Submit(MakeCall(id, "flood"), kLink, kStart);
  }
  guard.Submit(MakeCall(6, "quiet"), kLink, kStart);
  guard.Submit(MakeCall(7, "quiet"), kLink, kStart);
  std::string order;
  while (!guard.IsIdle()) {
    const GuardActions next = guard.Finished(running, Done(""), kStart);
    if (!next.m_runs.empty()) {
      running = next.m_runs[0].m_ticket;
      order += next.m_runs[0].m_call.m_caller.Value().front();
    }
  }
  cr_assert(order == "fqfqff", "order: %s", order.c_str());
}

Test(FairAdmission, ForeignAccountsKeepToTheirShareOfSlots)
{
  Guard guard = MakeGuard(4, 16, Share::FromFraction(0.25));
  std::map<std::string, int> runs =
    RunLoad(guard, { { "mesqel-gate", 10 }, { "foreign", 10 } });
  cr_assert(runs["foreign"] >= 900 && runs["foreign"] <= 1000,
            "foreign ran %d of 4000",
            runs["foreign"]);
  cr_assert(runs["mesqel-gate"] >= 2990);
}

Test(FairAdmission, UrgentClassRunsFirstAndDisplacesOthersWhenFull)
{
  Guard guard = MakeGuard(1, 1);
  guard.Submit(MakeCall(1), kLink, kStart);
  Call lookup = MakeCall(2);
  lookup.m_priority = 5;
  guard.Submit(lookup, kLink, kStart);
  const GuardActions displaced = guard.Submit(MakeCall(3), kLink, kStart);
  cr_assert(displaced.m_replies.at(0).m_answer.m_id == CallId(2));
  cr_assert(displaced.m_replies[0].m_answer.m_outcome == CallOutcome::NotRun);
  Call another = MakeCall(4);
  another.m_priority = 5;
  const GuardActions refused = guard.Submit(another, kLink, kStart);
  cr_assert(refused.m_replies.at(0).m_answer.m_id == CallId(4));
}

namespace {

Answer
Limited(double aPerSecond)
{
  Answer answer = Done("x");
  answer.m_notice = UpstreamNotice{ CallRate(aPerSecond), false };
  return answer;
}

} // namespace

Test(Guard, UpstreamGetsMoreCallsThanItsStatedLimit)
{
  Guard guard = MakeGuard(8, 1000);
  MonotonicTime now = kStart;
  const GuardActions first = guard.Submit(MakeCall(1), kLink, now);
  guard.Finished(first.m_runs[0].m_ticket, Limited(10), now);
  int runs = 0;
  std::uint64_t id = 1;
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(10);
    GuardActions actions = guard.Submit(MakeCall(++id), kLink, now);
    while (!actions.m_runs.empty()) {
      ++runs;
      actions = guard.Finished(actions.m_runs[0].m_ticket, Limited(10), now);
    }
  }
  // 4 s at 10 calls per second, and a short burst.
  cr_assert(runs <= 44, "%d calls", runs);
  cr_assert(runs >= 36, "%d calls", runs);
}

Test(Guard, WaitingCallsStartWhenTheRateLimitAllows)
{
  Guard guard = MakeGuard(8);
  const GuardActions first = guard.Submit(MakeCall(1), kLink, kStart);
  guard.Finished(first.m_runs[0].m_ticket, Limited(2), kStart);
  guard.Submit(MakeCall(2), kLink, kStart);
  guard.Submit(MakeCall(3), kLink, kStart);
  cr_assert(guard.NextTick().has_value());
  const MonotonicTime next = *guard.NextTick();
  cr_assert(next > kStart && next <= kStart + milliseconds(500));
  cr_assert_eq(guard.Tick(next).m_runs.size(), 1);
}

Test(Guard, RateLimitEndsWhenAnswersStateItNoMore)
{
  Guard guard = MakeGuard(8);
  const GuardActions first = guard.Submit(MakeCall(1), kLink, kStart);
  guard.Finished(first.m_runs[0].m_ticket, Limited(1), kStart);
  const MonotonicTime later = kStart + std::chrono::seconds(2);
  const GuardActions second = guard.Submit(MakeCall(2), kLink, later);
  cr_assert_eq(second.m_runs.size(), 1);
  Answer unlimited = Done("x");
  unlimited.m_notice = UpstreamNotice{};
  guard.Finished(second.m_runs[0].m_ticket, unlimited, later);
  for (std::uint64_t id = 3; id <= 8; ++id) {
    cr_assert_eq(guard.Submit(MakeCall(id), kLink, later).m_runs.size(), 1);
  }
}

Test(Guard, ReportsFewerSlotsUnderARateLimit)
{
  Guard guard = MakeGuard(8);
  const GuardActions first = guard.Submit(MakeCall(1), kLink, kStart);
  const MonotonicTime later = kStart + milliseconds(200);
  guard.Finished(first.m_runs[0].m_ticket, Limited(10), later);
  cr_assert_eq(guard.Load().m_slots.Value(), 2);
}

Test(Guard, LeavingUpstreamGetsCallsUntilItAnnouncesThat)
{
  Guard guard = MakeGuard(1);
  const GuardActions first = guard.Submit(MakeCall(1), kLink, kStart);
  guard.Submit(MakeCall(2), kLink, kStart);
  Answer leaving = Done("x");
  leaving.m_notice = UpstreamNotice{ std::nullopt, true };
  const GuardActions end =
    guard.Finished(first.m_runs[0].m_ticket, leaving, kStart);
  cr_assert(end.m_notice && end.m_notice->m_isLeaving);
  cr_assert(end.m_runs.empty());
  cr_assert_eq(end.m_replies.size(), 2);
  const GuardActions refused = guard.Submit(MakeCall(3), kLink, kStart);
  cr_assert_eq(refused.m_refused.size(), 1);
  cr_assert(refused.m_refused[0].m_reason == RefusalReason::Draining);
  // A live upstream after a draining one is another process.
  const UpstreamAnnouncement live{
    kService, kVersion, UpstreamState::Live, SlotCount(1)
  };
  UpstreamAnnouncement draining = live;
  draining.m_state = UpstreamState::Draining;
  guard.SetUpstream(live, kStart);
  cr_assert(guard.Submit(MakeCall(4), kLink, kStart).m_runs.empty());
  guard.SetUpstream(draining, kStart);
  guard.SetUpstream(live, kStart);
  cr_assert_eq(guard.Submit(MakeCall(5), kLink, kStart).m_runs.size(), 1);
}

/// A body must be whole before the upstream gets the call, and a call that
/// still waits for it has not run.
Test(Guard, ACallStartsWithoutItsDeferredBody)
{
  Guard guard = MakeGuard(1);
  Call call = MakeCall(1);
  call.m_deferredBody = DeferredBody{ ByteCount(40'000), 7 };
  GuardActions actions = guard.Submit(call, kLink, kStart);
  cr_assert(actions.m_runs.empty());
  std::size_t sent = 0;
  while (sent < 40'000) {
    cr_assert(!actions.m_bodies.empty());
    const std::vector<RequestBody> pieces = actions.m_bodies;
    for (const RequestBody& piece : pieces) {
      cr_assert_eq(piece.m_offset.Value(), sent);
      sent += piece.m_size.Value();
      actions = guard.BodyArrived(
        kLink, CallId(1), std::string(piece.m_size.Value(), 'x'), kStart);
    }
  }
  cr_assert_eq(actions.m_runs.size(), 1);
  cr_assert_eq(actions.m_runs[0].m_call.m_http.m_body.size(), 40'000);
}

Test(Guard, ACallWhoseBodyIsLostStaysInTheQueue)
{
  Guard guard = MakeGuard(1);
  Call call = MakeCall(1);
  call.m_deferredBody = DeferredBody{ ByteCount(40'000), 7 };
  guard.Submit(call, kLink, kStart);
  // Another entry node repeats the operation and waits for its answer.
  Call repeat = MakeCall(2, "mesqel-gate", "op-1");
  repeat.m_deferredBody = call.m_deferredBody;
  constexpr CallerLink kOther{ 2 };
  guard.Submit(repeat, kOther, kStart);
  const GuardActions actions = guard.LinkClosed(kLink, kStart);
  cr_assert_eq(actions.m_replies.size(), 1);
  cr_assert(actions.m_replies[0].m_link == kOther);
  cr_assert(actions.m_replies[0].m_answer.m_outcome == CallOutcome::NotRun);
  cr_assert(guard.IsIdle());
}

/// An entry node may send other bytes than it announced.
Test(Guard, ABodyOfAnotherSizeIsForwarded)
{
  Guard guard = MakeGuard(1);
  Call call = MakeCall(1);
  call.m_deferredBody = DeferredBody{ ByteCount(10'000), 7 };
  guard.Submit(call, kLink, kStart);
  const GuardActions actions =
    guard.BodyArrived(kLink, CallId(1), std::string(10'001, 'x'), kStart);
  cr_assert(actions.m_runs.empty());
  cr_assert(actions.m_replies[0].m_answer.m_outcome == CallOutcome::NotRun);
}

/// Load: an upstream that shares its VM and is at 250 % for less than a
/// second. Guards against a report that outlives that, against taking its
/// long calls for the usual, and against a log line for each report.
Test(Guard, ReportsThePaceForAShortTime)
{
  Guard guard = MakeGuard(1);
  const auto run = [&](std::uint64_t aId, MonotonicTime aStart, int aPace) {
    const GuardActions actions = guard.Submit(MakeCall(aId), kLink, aStart);
    Answer answer = Done("x");
    answer.m_notice = UpstreamNotice{};
    answer.m_notice->m_load = LoadReport{
      1, 0, SlotCount(1), PacePercent(static_cast<std::uint32_t>(aPace))
    };
    return guard.Finished(
      actions.m_runs.at(0).m_ticket, answer, aStart + milliseconds(aPace));
  };
  const GuardActions end = run(1, kStart, 250);
  cr_assert(!end.m_notice);
  cr_assert(end.m_replies.at(0).m_answer.m_load.m_pace == PacePercent(250));
  const MonotonicTime soon = kStart + milliseconds(400);
  guard.Submit(MakeCall(2), kLink, soon);
  // Refused: the one before takes 250 ms at this pace.
  Call hurried = MakeCall(3);
  hurried.m_timeRemaining = milliseconds(200);
  cr_assert_eq(guard.Submit(hurried, kLink, soon).m_refused.size(), 1);
  // Accepted: it takes 100 ms at the usual pace.
  hurried.m_id = CallId(4);
  const MonotonicTime late = kStart + milliseconds(600);
  cr_assert_eq(guard.Submit(hurried, kLink, late).m_refused.size(), 0);
  cr_assert(guard.Load().m_pace == kUsualPace);
}

/// Calls reach the upstreams of an evacuated data centre, or the end of the
/// evacuation is missed.
Test(Guard, EvacuatedGuardStartsCalls)
{
  Guard guard = MakeGuard(1);
  const Ticket running =
    guard.Submit(MakeCall(1, "a", "k"), kLink, kStart).m_runs.at(0).m_ticket;
  guard.Submit(MakeCall(2), kLink, kStart);
  const GuardActions begun = guard.SetEvacuated(true, kStart);
  cr_assert(begun.m_aborts.empty());
  cr_assert(begun.m_replies.at(0).m_answer.m_refusal ==
            RefusalReason::Evacuated);
  const GuardActions late = guard.Submit(MakeCall(3), kLink, kStart);
  cr_assert(late.m_runs.empty());
  cr_assert(late.m_replies.at(0).m_answer.m_outcome == CallOutcome::NotRun);
  cr_assert_eq(guard.RefusedFor(RefusalReason::Evacuated), 2);
  const GuardActions ended = guard.Finished(running, Done("x"), kStart);
  cr_assert(ended.m_replies.at(0).m_answer.m_http.m_body == "x");
  // What has run is still told, and what never came may have run elsewhere.
  const GuardActions repeated =
    guard.Submit(MakeCall(4, "a", "k"), kLink, kStart);
  cr_assert(repeated.m_replies.at(0).m_answer.m_http.m_body == "x");
  Question never = Ask("a", "other");
  never.m_attempt = kAllAttempts;
  cr_assert(guard.Ask(never, kStart).m_status == OperationStatus::Forgotten);
  guard.SetEvacuated(false, kStart);
  cr_assert_eq(guard.Submit(MakeCall(5), kLink, kStart).m_runs.size(), 1);
}

/// Guards against a call that reaches a leaving upstream once more after a
/// reset, and against one that is repeated although the upstream has read it.
Test(Guard, OnlyACallThatTheUpstreamCannotHaveReadIsSentAgain)
{
  constexpr Duration kAtOnce = milliseconds(2);
  Guard guard = MakeGuard(4);
  Call call = MakeCall(1);
  call.m_idempotent = true;
  const GuardActions actions = guard.Submit(call, kLink, kStart);
  const Ticket ticket = actions.m_runs.at(0).m_ticket;
  cr_assert(guard.MayResend(ticket, kAtOnce, kStart + kAtOnce));
  cr_assert(
    !guard.MayResend(ticket, milliseconds(51), kStart + milliseconds(51)));
  cr_assert(!guard.MayResend(ticket, kAtOnce, kStart + std::chrono::hours(1)));
  cr_assert(!guard.MayResend(Ticket(99), kAtOnce, kStart));

  const GuardActions once = guard.Submit(MakeCall(2), kLink, kStart);
  cr_assert(!guard.MayResend(once.m_runs.at(0).m_ticket, kAtOnce, kStart));

  guard.SetUpstream(
    { kService, kVersion, UpstreamState::Draining, SlotCount(4) }, kStart);
  cr_assert(!guard.MayResend(ticket, kAtOnce, kStart + kAtOnce));
  cr_assert_eq(guard.Resends().m_resent, 1);
  cr_assert_eq(guard.Resends().m_late, 1);
  cr_assert_eq(guard.Resends().m_closed, 1);
}

/// The same for an upstream that says so in an answer, and for one whose node
/// stops.
Test(Guard, NoCallIsSentAgainAfterTheDoorHasClosed)
{
  for (const bool isNotice : { false, true }) {
    Guard guard = MakeGuard(4);
    Call call = MakeCall(1);
    call.m_idempotent = true;
    const GuardActions first = guard.Submit(call, kLink, kStart);
    const GuardActions second = guard.Submit(MakeCall(2), kLink, kStart);
    if (isNotice) {
      Answer answer = Done("x");
      answer.m_notice.emplace().m_isLeaving = true;
      guard.Finished(second.m_runs.at(0).m_ticket, answer, kStart);
    } else {
      guard.Drain(kStart);
    }
    cr_assert(
      !guard.MayResend(first.m_runs.at(0).m_ticket, milliseconds(1), kStart));
    cr_assert_eq(guard.Resends().m_closed, 1);
  }
}

} // namespace tarragontray
