#include "request/Guard.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "base/Hash.h"

namespace tarragontray {

namespace {

/// A waiting call is refused this long before its deadline, so that the refusal
/// reaches the entry node in time; at most this fraction of the time that it
/// arrived with.
constexpr Duration kReplyMargin = std::chrono::milliseconds(10);
constexpr int kReplyMarginDivisor = 32;

/// The longest wait that a refusal states. Upstreams and loads change within
/// seconds.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

/// The upstream's host resets a connection that the upstream has closed as soon
/// as a call arrives on it. A later reset may come from the upstream itself,
/// after it has read the call.
constexpr Duration kMaxStaleReset = std::chrono::milliseconds(50);

Duration
ReplyMargin(Duration aTimeRemaining)
{
  return std::clamp(
    aTimeRemaining / kReplyMarginDivisor, Duration(0), kReplyMargin);
}

OperationKey
KeyOf(const Call& aCall)
{
  return { aCall.m_caller, aCall.m_operation };
}

std::uint64_t
Fingerprint(const Call& aCall)
{
  const std::uint64_t method = StableHash(aCall.m_http.m_method);
  const std::uint64_t target = StableHash(aCall.m_http.m_target, method);
  return aCall.m_deferredBody ? target ^ aCall.m_deferredBody->m_hash
                              : target ^ StableHash(aCall.m_http.m_body);
}

bool
RunsAtMostOnce(const Call& aCall)
{
  return !aCall.m_idempotent && !aCall.m_operation.IsEmpty();
}

} // namespace

Result<Guard>
Guard::Create(const GuardSettings& aSettings,
              std::unique_ptr<AdmissionPolicy> aPolicy)
{
  if (aSettings.m_operations.m_retention < kMinRetention) {
    return Error(
      ErrorCode::InvalidArgument,
      "guard.create",
      "",
      "retention below the minimum of " +
        std::to_string(
          std::chrono::duration_cast<std::chrono::seconds>(kMinRetention)
            .count()) +
        " s");
  }
  return Guard(aSettings, std::move(aPolicy));
}

Guard::Guard(const GuardSettings& aSettings,
             std::unique_ptr<AdmissionPolicy> aPolicy)
  : m_settings(aSettings)
  , m_policy(std::move(aPolicy))
  , m_operations(aSettings.m_operations)
  , m_bodies(aSettings.m_bodies)
{
}

GuardActions
Guard::Submit(Call aCall, CallerLink aFrom, MonotonicTime aNow)
{
  GuardActions actions;
  const std::uint64_t fingerprint =
    RunsAtMostOnce(aCall) ? Fingerprint(aCall) : 0;
  if (RunsAtMostOnce(aCall) &&
      ReplyFromTable(aCall, fingerprint, aFrom, actions)) {
    return actions;
  }
  const RefusalReason reason = CheckUpstream(aCall);
  if (reason != RefusalReason::None) {
    RefuseAtOnce(aCall, aFrom, reason, actions);
    return actions;
  }
  const Ticket ticket = m_lastTicket + Ticket(1);
  if (RunsAtMostOnce(aCall) &&
      !m_operations.Begin(KeyOf(aCall), ticket, fingerprint, aNow)) {
    RefuseAtOnce(aCall, aFrom, RefusalReason::OperationTableFull, actions);
    return actions;
  }
  Admit(std::move(aCall), aFrom, aNow, actions);
  RunNext(aNow, actions);
  return actions;
}

bool
Guard::ReplyFromTable(const Call& aCall,
                      std::uint64_t aFingerprint,
                      CallerLink aFrom,
                      GuardActions& aActions)
{
  const OperationEntry* known = m_operations.Find(KeyOf(aCall));
  if (known == nullptr) {
    return false;
  }
  if (known->m_state == OperationEntry::State::Withdrawn) {
    const bool isRefused = aCall.m_attempt <= known->m_withdrawnAttempt;
    if (isRefused) {
      RefuseAtOnce(aCall, aFrom, RefusalReason::WithdrawnOperation, aActions);
    }
    return isRefused;
  }
  if (known->m_fingerprint != aFingerprint) {
    RefuseAtOnce(aCall, aFrom, RefusalReason::OperationMismatch, aActions);
    return true;
  }
  AttachWaiter(*known, aCall, aFrom, aActions);
  return true;
}

void
Guard::AttachWaiter(const OperationEntry& aKnown,
                    const Call& aCall,
                    CallerLink aFrom,
                    GuardActions& aActions)
{
  const Waiter waiter{ aFrom, aCall.m_id };
  if (aKnown.m_state == OperationEntry::State::Ended) {
    ReplyTo(waiter, aKnown.m_answer.value_or(Answer{}), aActions);
    return;
  }
  Entry& entry = m_entries.at(aKnown.m_ticket);
  if (entry.m_waiters.size() >= m_settings.m_maxWaiters) {
    // Unknown rather than NotRun, since the operation may run.
    ReplyTo(waiter, Answer{}, aActions);
    return;
  }
  entry.m_waiters.push_back(waiter);
  m_links.Add(waiter, aKnown.m_ticket);
}

RefusalReason
Guard::CheckUpstream(const Call& aCall) const
{
  if (m_isEvacuated) {
    return RefusalReason::Evacuated;
  }
  if (IsDraining()) {
    return RefusalReason::Draining;
  }
  const bool isServing = m_upstream.m_state != UpstreamState::Absent &&
                         m_upstream.m_service == aCall.m_service &&
                         m_upstream.m_version == aCall.m_version;
  return isServing ? RefusalReason::None : RefusalReason::UpstreamGone;
}

void
Guard::Admit(Call aCall,
             CallerLink aFrom,
             MonotonicTime aNow,
             GuardActions& aActions)
{
  const Ticket ticket = m_lastTicket += Ticket(1);
  const Waiter waiter{ aFrom, aCall.m_id };
  m_links.Add(waiter, ticket);
  Entry& entry = m_entries[ticket];
  entry.m_waiters.push_back(waiter);
  entry.m_arrived = aNow;
  entry.m_deadline = aNow + aCall.m_timeRemaining;
  entry.m_refuseAt = entry.m_deadline - ReplyMargin(aCall.m_timeRemaining);
  entry.m_objective = aNow + aCall.m_objectiveRemaining;
  entry.m_call = std::move(aCall);
  if (!entry.m_call.m_deferredBody) {
    Enqueue(ticket, aNow, aActions);
    return;
  }
  entry.m_hadDeferredBody = true;
  entry.m_bodySource = waiter;
  const WaitingBody body{ WaitingCallOf(ticket, entry, aNow),
                          entry.m_call.m_deferredBody->m_size };
  for (const Refused& refused : m_bodies.Offer(body, aNow)) {
    Refuse(refused.m_ticket, refused.m_reason, aNow, aActions);
  }
}

WaitingCall
Guard::WaitingCallOf(Ticket aTicket,
                     const Entry& aEntry,
                     MonotonicTime aNow) const
{
  const Call& call = aEntry.m_call;
  return { .m_ticket = aTicket,
           .m_caller = call.m_caller,
           .m_priority = call.m_priority,
           .m_deadline = aEntry.m_refuseAt,
           .m_objective = aEntry.m_objective,
           .m_serviceTime =
             AtPace(m_serviceTimes.MeanOf(call.m_route), m_pace.At(aNow)),
           .m_isQuick = m_serviceTimes.IsQuick(call.m_route) };
}

void
Guard::Enqueue(Ticket aTicket, MonotonicTime aNow, GuardActions& aActions)
{
  const Entry& entry = m_entries.at(aTicket);
  m_waitingWithBody += entry.m_hadDeferredBody ? 1 : 0;
  const WaitingCall waiting = WaitingCallOf(aTicket, entry, aNow);
  for (const Refused& refused :
       m_policy->Offer(waiting, Capacity(aNow), aNow)) {
    Refuse(refused.m_ticket, refused.m_reason, aNow, aActions);
  }
}

GuardActions
Guard::BodyArrived(CallerLink aFrom,
                   CallId aCall,
                   const std::string& aBytes,
                   MonotonicTime aNow)
{
  GuardActions actions;
  const Waiter source{ aFrom, aCall };
  const std::optional<Ticket> ticket = m_links.Find(source);
  // The call may have been refused or cancelled meanwhile.
  if (!ticket || m_entries.at(*ticket).m_bodySource != source) {
    return actions;
  }
  Entry& entry = m_entries.at(*ticket);
  std::string& body = entry.m_call.m_http.m_body;
  const ByteCount size(aBytes.size());
  body.append(aBytes);
  if (body.size() > entry.m_call.m_deferredBody->m_size.Value()) {
    RemoveWaiting(*ticket);
    Refuse(*ticket, RefusalReason::OperationMismatch, aNow, actions);
  } else if (m_bodies.Arrived(*ticket, size, aNow)) {
    entry.m_bodySource.reset();
    entry.m_call.m_deferredBody.reset();
    Enqueue(*ticket, aNow, actions);
  }
  RunNext(aNow, actions);
  return actions;
}

void
Guard::RequestBodies(MonotonicTime aNow, GuardActions& aActions)
{
  // Half a round of calls may wait for slots with their bodies, so that slots
  // don't idle during transfers.
  const std::uint32_t slots = std::max(1U, m_upstream.m_slots.Value());
  const bool startsNew = m_waitingWithBody <= slots / 2;
  while (const auto piece = m_bodies.Next(startsNew, aNow)) {
    const Entry& entry = m_entries.at(piece->m_ticket);
    aActions.m_bodies.push_back({ entry.m_bodySource->m_link,
                                  entry.m_bodySource->m_call,
                                  piece->m_offset,
                                  piece->m_size });
  }
}

void
Guard::RemoveWaiting(Ticket aTicket)
{
  if (!m_bodies.Remove(aTicket)) {
    m_policy->Remove(aTicket);
  }
}

void
Guard::RunNext(MonotonicTime aNow, GuardActions& aActions)
{
  UpdateCold(aNow, aActions);
  for (const Refused& refused : m_policy->TakeExpired(aNow)) {
    Refuse(refused.m_ticket, refused.m_reason, aNow, aActions);
  }
  for (const Refused& refused : m_bodies.TakeExpired(aNow)) {
    Refuse(refused.m_ticket, refused.m_reason, aNow, aActions);
  }
  m_nextStart.reset();
  while (m_policy->Size() > 0) {
    const UpstreamCapacity capacity = Capacity(aNow);
    if (capacity.m_startDelay > Duration::zero()) {
      m_nextStart = aNow + capacity.m_startDelay;
      break;
    }
    const std::optional<Ticket> next = m_policy->Next(capacity, aNow);
    if (!next) {
      break;
    }
    m_starts.OnStart();
    m_coldStarts.OnStart();
    Entry& entry = m_entries.at(*next);
    m_coldCounters.m_delayed += m_coldRate && entry.m_arrived < aNow ? 1 : 0;
    entry.m_isRunning = true;
    m_waitingWithBody -= entry.m_hadDeferredBody ? 1 : 0;
    entry.m_started = aNow;
    ++m_running;
    Call call = entry.m_call;
    entry.m_call.m_http = {};
    call.m_timeRemaining = entry.m_deadline - aNow;
    aActions.m_runs.push_back({ *next, std::move(call) });
  }
  RequestBodies(aNow, aActions);
}

void
Guard::UpdateCold(MonotonicTime aNow, GuardActions& aActions)
{
  if (!m_settings.m_cold) {
    return;
  }
  m_cold.SetInUse(IsServing() && !IsDraining());
  m_cold.Tick(aNow);
  if (const auto rate = m_cold.Rate(); rate != m_coldRate) {
    if (rate.has_value() != m_coldRate.has_value()) {
      aActions.m_coldChange = ColdChange{ rate.has_value(), m_cold.Reason() };
    }
    m_coldRate = rate;
    // The stated rate and half of the slack as a burst: together well below
    // what is allowed, since a call may be counted in the second in which it
    // arrives.
    const ColdAllowance& allowed = *m_settings.m_cold;
    const double share = std::min(1.0, allowed.m_excess);
    m_coldStarts.SetLimit(rate ? std::optional(CallRate(rate->Value() * share))
                               : std::nullopt,
                          aNow,
                          std::max(1.0, allowed.m_slack / 2));
    if (rate) {
      OfferAgain(aNow, aActions);
    }
  }
  if (m_cold.TakeHealthRequest(aNow)) {
    ++m_coldCounters.m_healthRequests;
    aActions.m_healthTarget = m_cold.HealthTarget();
  }
}

void
Guard::OfferAgain(MonotonicTime aNow, GuardActions& aActions)
{
  const std::vector<Ticket> waiting = WaitingTickets();
  for (const Ticket ticket : waiting) {
    m_policy->Remove(ticket);
  }
  for (const Ticket ticket : waiting) {
    const auto found = m_entries.find(ticket);
    if (found == m_entries.end()) {
      continue;
    }
    // A call without its body is not admitted yet.
    if (found->second.m_bodySource) {
      continue;
    }
    const WaitingCall call = WaitingCallOf(ticket, found->second, aNow);
    for (const Refused& refused : m_policy->Offer(call, Capacity(aNow), aNow)) {
      Refuse(refused.m_ticket, refused.m_reason, aNow, aActions);
    }
  }
}

GuardActions
Guard::SetColdBounds(const ColdBounds& aBounds, MonotonicTime aNow)
{
  GuardActions actions;
  m_cold.SetBounds(aBounds);
  RunNext(aNow, actions);
  return actions;
}

GuardActions
Guard::OnHeartbeat(const UpstreamHeartbeat& aHeartbeat, MonotonicTime aNow)
{
  GuardActions actions;
  m_cold.OnHeartbeat(aHeartbeat, aNow);
  RunNext(aNow, actions);
  return actions;
}

GuardActions
Guard::OnHealthAnswer(std::optional<Duration> aColdRemaining,
                      MonotonicTime aNow)
{
  GuardActions actions;
  m_cold.OnHealthAnswer(aColdRemaining, aNow);
  RunNext(aNow, actions);
  return actions;
}

GuardActions
Guard::Finished(Ticket aTicket, Answer aAnswer, MonotonicTime aNow)
{
  GuardActions actions;
  const auto found = m_entries.find(aTicket);
  if (found == m_entries.end() || !found->second.m_isRunning) {
    return actions;
  }
  const Entry entry = std::move(found->second);
  m_entries.erase(found);
  --m_running;
  m_policy->Released(entry.m_call.m_caller);
  if (!entry.m_isAborted) {
    m_cold.OnCallEnded(aAnswer, aNow);
  }
  aAnswer.m_serviceTime = aNow - entry.m_started;
  if (aAnswer.m_notice) {
    RecordLoad(*aAnswer.m_notice, aNow);
  }
  if (aAnswer.m_outcome == CallOutcome::Done) {
    m_serviceTimes.Record(entry.m_call.m_route,
                          AtUsualPace(aAnswer.m_serviceTime, m_paceNow));
  }
  if (RunsAtMostOnce(entry.m_call)) {
    if (aAnswer.m_outcome == CallOutcome::NotRun) {
      m_operations.Release(KeyOf(entry.m_call), aNow);
    } else {
      m_operations.Finish(KeyOf(entry.m_call), aAnswer, aNow);
    }
  }
  if (aAnswer.m_notice) {
    ApplyNotice(*aAnswer.m_notice, aNow, actions);
  }
  for (const Waiter& waiter : entry.m_waiters) {
    ReplyTo(waiter, aAnswer, actions);
    m_links.Remove(waiter);
  }
  RunNext(aNow, actions);
  return actions;
}

bool
Guard::MayResend(Ticket aTicket, Duration aSinceSent, MonotonicTime aNow)
{
  const auto found = m_entries.find(aTicket);
  if (found == m_entries.end()) {
    return false;
  }
  const Entry& entry = found->second;
  if (!entry.m_isRunning || entry.m_isAborted || !entry.m_call.m_idempotent ||
      aNow >= entry.m_deadline) {
    return false;
  }
  if (CheckUpstream(entry.m_call) != RefusalReason::None) {
    ++m_resends.m_closed;
    return false;
  }
  if (aSinceSent > kMaxStaleReset) {
    ++m_resends.m_late;
    return false;
  }
  ++m_resends.m_resent;
  return true;
}

void
Guard::RecordLoad(const UpstreamNotice& aNotice, MonotonicTime aNow)
{
  if (aNotice.m_load) {
    m_pace.Set(aNotice.m_load->m_pace, aNow);
  }
  m_unreadableLoads += aNotice.m_isLoadUnreadable ? 1 : 0;
  m_paceNow = m_pace.At(aNow);
}

void
Guard::ApplyNotice(const UpstreamNotice& aNotice,
                   MonotonicTime aNow,
                   GuardActions& aActions)
{
  UpstreamNotice notice = aNotice;
  // The load changes with each answer; it is no news for the driver.
  notice.m_load.reset();
  notice.m_isLoadUnreadable = false;
  notice.m_isLeaving |= m_notice.m_isLeaving;
  // It differs in each answer; ColdUpstream reads it.
  notice.m_coldRemaining.reset();
  if (notice == m_notice) {
    return;
  }
  m_starts.SetLimit(notice.m_rateLimit, aNow);
  const bool startsLeaving = notice.m_isLeaving && !m_notice.m_isLeaving;
  m_notice = notice;
  aActions.m_notice = notice;
  if (startsLeaving) {
    RefuseWaiting(RefusalReason::Draining, aNow, aActions);
  }
}

void
Guard::ResetNotice()
{
  m_notice = {};
  m_starts = StartLimiter();
}

GuardActions
Guard::Cancel(CallerLink aFrom, CallId aCall, MonotonicTime aNow)
{
  GuardActions actions;
  const Waiter waiter{ aFrom, aCall };
  const std::optional<Ticket> ticket = m_links.Find(waiter);
  if (!ticket) {
    return actions;
  }
  const bool wasRunning = m_entries.at(*ticket).m_isRunning;
  RemoveWaiter(*ticket, waiter, aNow, actions);
  if (!wasRunning && !m_entries.contains(*ticket)) {
    ReplyNotRun(waiter, RefusalReason::Cancelled, Duration(0), actions);
  }
  RunNext(aNow, actions);
  return actions;
}

GuardActions
Guard::Withdraw(CallerLink aFrom, CallId aCall, MonotonicTime aNow)
{
  GuardActions actions;
  const std::optional<Ticket> ticket = m_links.Find({ aFrom, aCall });
  if (!ticket) {
    return actions;
  }
  const Entry& entry = m_entries.at(*ticket);
  if (!entry.m_isRunning && entry.m_waiters.size() == 1) {
    RemoveWaiting(*ticket);
    Refuse(*ticket, RefusalReason::DeadlineTooShort, aNow, actions);
  }
  return actions;
}

GuardActions
Guard::LinkClosed(CallerLink aFrom, MonotonicTime aNow)
{
  GuardActions actions;
  for (const auto& [waiter, ticket] : m_links.Of(aFrom)) {
    RemoveWaiter(ticket, waiter, aNow, actions);
  }
  RunNext(aNow, actions);
  return actions;
}

void
Guard::RemoveWaiter(Ticket aTicket,
                    const Waiter& aWaiter,
                    MonotonicTime aNow,
                    GuardActions& aActions)
{
  m_links.Remove(aWaiter);
  Entry& entry = m_entries.at(aTicket);
  std::erase(entry.m_waiters, aWaiter);
  // Only the node that holds the body can send it.
  const bool hasLostBody = entry.m_bodySource == aWaiter;
  if (!entry.m_waiters.empty() && !hasLostBody) {
    return;
  }
  if (!entry.m_isRunning) {
    RemoveWaiting(aTicket);
    Refuse(aTicket, RefusalReason::Cancelled, aNow, aActions);
  } else if (entry.m_call.m_idempotent) {
    entry.m_isAborted = true;
    aActions.m_aborts.push_back({ aTicket });
  }
}

AskResult
Guard::Ask(const Question& aQuestion, MonotonicTime aNow)
{
  const OperationEntry* known = m_operations.Find(aQuestion.m_key);
  if (known != nullptr && known->m_state == OperationEntry::State::Accepted) {
    return { OperationStatus::Running, std::nullopt };
  }
  if (known != nullptr && known->m_state == OperationEntry::State::Ended) {
    return { known->m_answer ? OperationStatus::Done
                             : OperationStatus::Forgotten,
             known->m_answer };
  }
  if (known != nullptr && known->m_withdrawnAttempt == kAllAttempts &&
      aQuestion.m_attempt != kAllAttempts) {
    // Another entry node withdrew the operation here to run it at another
    // target.
    return { OperationStatus::Forgotten, std::nullopt };
  }
  const bool isSentToThisIncarnation =
    aQuestion.m_sentTo >= m_settings.m_incarnation;
  const bool canRuleOutRun =
    aQuestion.m_attempt != kAllAttempts || !IsDraining();
  const bool isWithdrawn =
    isSentToThisIncarnation && canRuleOutRun &&
    m_operations.Withdraw(aQuestion.m_key, aQuestion.m_attempt, aNow);
  return { isWithdrawn ? OperationStatus::NotReceived
                       : OperationStatus::Forgotten,
           std::nullopt };
}

GuardActions
Guard::Tick(MonotonicTime aNow)
{
  GuardActions actions;
  RunNext(aNow, actions);
  return actions;
}

std::optional<MonotonicTime>
Guard::NextTick() const
{
  std::optional<MonotonicTime> next = m_policy->NextExpiry();
  const std::optional<MonotonicTime> nextBody = m_bodies.NextTick();
  if (nextBody && (!next || *nextBody < *next)) {
    next = nextBody;
  }
  if (m_nextStart && (!next || *m_nextStart < *next)) {
    next = m_nextStart;
  }
  const auto cold = m_settings.m_cold ? m_cold.NextTick() : std::nullopt;
  if (cold && (!next || *cold < *next)) {
    next = cold;
  }
  return next;
}

GuardActions
Guard::SetUpstream(const UpstreamAnnouncement& aUpstream, MonotonicTime aNow)
{
  GuardActions actions;
  const bool wasServing = IsServing();
  const bool isReplaced = aUpstream.m_service != m_upstream.m_service ||
                          aUpstream.m_version != m_upstream.m_version;
  m_upstream = aUpstream;
  if (isReplaced || aUpstream.m_state == UpstreamState::Draining ||
      aUpstream.m_state == UpstreamState::Absent) {
    // From a draining or absent state, only another process becomes live.
    m_notice.m_isLeaving = false;
  }
  const bool isGone = aUpstream.m_state == UpstreamState::Absent || isReplaced;
  if (wasServing && aUpstream.m_state == UpstreamState::Absent) {
    m_cold.SuspectCold(ColdReason::Silent, aNow);
  }
  UpdateCold(aNow, actions);
  if (isGone || aUpstream.m_state == UpstreamState::Draining) {
    RefuseWaiting(isGone ? RefusalReason::UpstreamGone
                         : RefusalReason::Draining,
                  aNow,
                  actions);
    return actions;
  }
  RunNext(aNow, actions);
  return actions;
}

GuardActions
Guard::SetEvacuated(bool aIsEvacuated, MonotonicTime aNow)
{
  GuardActions actions;
  const bool wasEvacuated = std::exchange(m_isEvacuated, aIsEvacuated);
  if (m_isEvacuated) {
    RefuseWaiting(RefusalReason::Evacuated, aNow, actions);
  } else if (wasEvacuated) {
    m_cold.SuspectCold(ColdReason::Evacuated, aNow);
  }
  UpdateCold(aNow, actions);
  return actions;
}

GuardActions
Guard::Drain(MonotonicTime aNow)
{
  GuardActions actions;
  m_isDraining = true;
  RefuseWaiting(RefusalReason::Draining, aNow, actions);
  return actions;
}

void
Guard::RefuseWaiting(RefusalReason aReason,
                     MonotonicTime aNow,
                     GuardActions& aActions)
{
  for (const Ticket ticket : WaitingTickets()) {
    RemoveWaiting(ticket);
    Refuse(ticket, aReason, aNow, aActions);
  }
}

std::vector<Ticket>
Guard::WaitingTickets() const
{
  std::vector<Ticket> waiting;
  for (const auto& [ticket, entry] : m_entries) {
    if (!entry.m_isRunning) {
      waiting.push_back(ticket);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  return waiting;
}

void
Guard::Refuse(Ticket aTicket,
              RefusalReason aReason,
              MonotonicTime aNow,
              GuardActions& aActions)
{
  const auto found = m_entries.find(aTicket);
  const Entry entry = std::move(found->second);
  m_entries.erase(found);
  if (entry.m_hadDeferredBody && !entry.m_bodySource) {
    --m_waitingWithBody;
  }
  if (RunsAtMostOnce(entry.m_call)) {
    m_operations.Release(KeyOf(entry.m_call), aNow);
  }
  const bool isForCapacity = aReason == RefusalReason::DeadlineTooShort ||
                             aReason == RefusalReason::QueueFull;
  m_coldCounters.m_refused += m_coldRate && isForCapacity ? 1 : 0;
  RecordRefusal(entry.m_call, aReason, aActions);
  RefusedCall& refused = aActions.m_refused.back();
  refused.m_waited = aNow - entry.m_arrived;
  refused.m_left = entry.m_deadline - aNow;
  refused.m_retryAfter = RetryAfter(aTicket, entry, aReason, aNow);
  for (const Waiter& waiter : entry.m_waiters) {
    ReplyNotRun(waiter, aReason, refused.m_retryAfter, aActions);
    m_links.Remove(waiter);
  }
}

Duration
Guard::RetryAfter(Ticket aTicket,
                  const Entry& aEntry,
                  RefusalReason aReason,
                  MonotonicTime aNow)
{
  if (aReason != RefusalReason::QueueFull &&
      aReason != RefusalReason::DeadlineTooShort &&
      aReason != RefusalReason::FairShare) {
    return Duration(0);
  }
  const WaitingCall call = WaitingCallOf(aTicket, aEntry, aNow);
  const Duration forSlot = m_policy->ExpectedStart(call, Capacity(aNow), aNow);
  const Duration wait = aEntry.m_hadDeferredBody
                          ? std::max(forSlot, m_bodies.ExpectedWait())
                          : forSlot;
  return std::min(kMaxRetryAfter,
                  std::max({ wait,
                             m_starts.RetryAfter(m_policy->Size()),
                             m_coldStarts.RetryAfter(m_policy->Size()) }));
}

void
Guard::RefuseAtOnce(const Call& aCall,
                    CallerLink aFrom,
                    RefusalReason aReason,
                    GuardActions& aActions)
{
  RecordRefusal(aCall, aReason, aActions);
  ReplyNotRun({ aFrom, aCall.m_id }, aReason, Duration(0), aActions);
}

void
Guard::RecordRefusal(const Call& aCall,
                     RefusalReason aReason,
                     GuardActions& aActions)
{
  aActions.m_refused.push_back({ .m_operation = aCall.m_operation,
                                 .m_route = aCall.m_route,
                                 .m_reason = aReason,
                                 .m_left = aCall.m_timeRemaining });
}

void
Guard::ReplyTo(const Waiter& aWaiter, Answer aAnswer, GuardActions& aActions)
{
  aAnswer.m_id = aWaiter.m_call;
  aAnswer.m_load = Load();
  aActions.m_replies.push_back({ aWaiter.m_link, std::move(aAnswer) });
}

void
Guard::ReplyNotRun(const Waiter& aWaiter,
                   RefusalReason aReason,
                   Duration aRetryAfter,
                   GuardActions& aActions)
{
  ++m_refused[static_cast<std::size_t>(aReason)];
  Answer answer;
  answer.m_outcome = CallOutcome::NotRun;
  answer.m_refusal = aReason;
  answer.m_retryAfter = aRetryAfter;
  ReplyTo(aWaiter, std::move(answer), aActions);
}

UpstreamCapacity
Guard::Capacity(MonotonicTime aNow)
{
  m_paceNow = m_pace.At(aNow);
  return { m_upstream.m_slots,
           m_running,
           AtPace(m_serviceTimes.Mean(), m_paceNow),
           std::max(m_starts.Interval(), m_coldStarts.Interval()),
           std::max(m_starts.Delay(aNow), m_coldStarts.Delay(aNow)) };
}

LoadReport
Guard::Load() const
{
  const Duration mean = m_serviceTimes.Mean();
  return { m_running,
           static_cast<std::uint32_t>(m_policy->Size() + m_bodies.Size()),
           std::min(m_starts.UsableSlots(m_upstream.m_slots, mean),
                    m_coldStarts.UsableSlots(m_upstream.m_slots, mean)),
           m_paceNow };
}

} // namespace tarragontray
