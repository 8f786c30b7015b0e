/// \file
/// The guard of one upstream. All calls to the upstream pass through it. It
/// decides whether a call runs, waits or is refused, and runs each
/// non-idempotent operation at most once.
///
///     Result<Guard> guard = Guard::Create(settings, std::move(policy));
///     GuardActions actions = guard.value().Submit(call, link, now);
///     // Run: send the call to the upstream, later Finished(ticket, ...).
///     // AbortUpstream: close the upstream's connection, then Finished with
///     //   outcome Unknown.
///     // Reply: send the answer on the link; m_answer.m_id is the call's id.
///
/// A refused call was never handed to the upstream, so NotRun is always
/// correct. Operation ids are looked up before any other check: a repeated call
/// attaches to the running operation or receives the stored answer, even while
/// the guard is draining.
///
/// Thread safety: one thread for each guard.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/MemberRecord.h"
#include "request/AdmissionPolicy.h"
#include "request/BodyTransfers.h"
#include "request/Call.h"
#include "request/CallerLinks.h"
#include "request/ColdUpstream.h"
#include "request/OperationTable.h"
#include "request/Pace.h"
#include "request/ServiceTimes.h"
#include "request/StartLimiter.h"

namespace tarragontray {

struct GuardSettings
{
  /// The node's incarnation at its start. Queries about calls that were sent to
  /// an earlier incarnation are answered with Forgotten.
  Incarnation m_incarnation;
  OperationTableSettings m_operations;
  BodyTransferSettings m_bodies{};
  /// Maximum number of calls that may wait for one operation.
  std::size_t m_maxWaiters = 16;
  /// Limits the starts of calls while the upstream is or may be cold; not set:
  /// they are not limited.
  std::optional<ColdAllowance> m_cold{};
};

/// Hand the call to the upstream.
struct Run
{
  Ticket m_ticket;
  Call m_call;
};

/// Answer a call.
struct Reply
{
  CallerLink m_link;
  Answer m_answer;
};

/// A call that was refused, for the log.
struct RefusedCall
{
  OperationId m_operation;
  RouteName m_route;
  RefusalReason m_reason = RefusalReason::None;
  Duration m_waited{ 0 };
  /// Time to its deadline; negative when the deadline had passed.
  Duration m_left{ 0 };
  /// The wait that the refusal states; zero when it states none.
  Duration m_retryAfter{ 0 };
};

/// Cancel a running call.
struct AbortUpstream
{
  Ticket m_ticket;
};

/// Request a piece of a call's body from its entry node.
struct RequestBody
{
  CallerLink m_link;
  CallId m_call;
  ByteCount m_offset;
  ByteCount m_size;
};

/// The limit for a cold upstream has begun or ended.
struct ColdChange
{
  bool m_isLimited = false;
  /// Why it began.
  ColdReason m_reason = ColdReason::Start;
};

/// Counts calls and health requests while the upstream was or might have been
/// cold.
struct ColdCounters
{
  /// Calls that waited before they started.
  std::uint64_t m_delayed = 0;
  /// Calls that were refused because they could not start in time.
  std::uint64_t m_refused = 0;
  std::uint64_t m_healthRequests = 0;
};

/// Counts calls that failed on a reused connection before any byte of the
/// answer arrived, by what was decided.
struct ResendCounters
{
  std::uint64_t m_resent = 0;
  /// Not sent again: the upstream may have read the call.
  std::uint64_t m_late = 0;
  /// Not sent again: the upstream leaves, or is another one by now.
  std::uint64_t m_closed = 0;
};

/// The actions that the driver must carry out, in this order.
struct GuardActions
{
  std::vector<AbortUpstream> m_aborts;
  std::vector<Reply> m_replies;
  std::vector<Run> m_runs;
  std::vector<RequestBody> m_bodies;
  std::vector<RefusedCall> m_refused;
  /// Set when the upstream has stated something else about itself than before.
  std::optional<UpstreamNotice> m_notice;
  std::optional<ColdChange> m_coldChange{};
  /// The target of a health request to send to the upstream; its outcome is
  /// passed to OnHealthAnswer.
  std::optional<std::string> m_healthTarget{};
};

/// The answer to a query about an operation.
struct AskResult
{
  OperationStatus m_status = OperationStatus::Forgotten;
  /// Set for Done.
  std::optional<Answer> m_answer;
};

/// A query about an attempt, as the entry node sends it.
struct Question
{
  OperationKey m_key;
  /// The attempt that was lost. kAllAttempts asks whether the operation ever
  /// ran here. A draining guard can't rule that out, because repeats of the key
  /// may already have gone to its next home.
  std::uint8_t m_attempt = 1;
  /// Target::m_incarnation in the view that the attempt was sent with.
  Incarnation m_sentTo;
};

class Guard
{
public:
  /// Precondition: aPolicy is set.
  /// Errors: InvalidArgument when the retention is below kMinRetention.
  static Result<Guard> Create(const GuardSettings& aSettings,
                              std::unique_ptr<AdmissionPolicy> aPolicy);

  /// A call arrived on a link. Precondition: aCall.m_id is new on this link.
  GuardActions Submit(Call aCall, CallerLink aFrom, MonotonicTime aNow);
  /// A piece of a call's deferred body arrived, in the order of the requests.
  GuardActions BodyArrived(CallerLink aFrom,
                           CallId aCall,
                           const std::string& aBytes,
                           MonotonicTime aNow);
  /// A run ended with Done, Unknown, or NotRun when the upstream shed the call.
  GuardActions Finished(Ticket aTicket, Answer aAnswer, MonotonicTime aNow);
  /// Decides whether a running call is sent to the upstream once more, after a
  /// reused connection was closed before any byte of the answer arrived: only
  /// an idempotent call that the upstream can't have read, while new calls may
  /// still be sent there. \param aSinceSent time since the call was sent.
  bool MayResend(Ticket aTicket, Duration aSinceSent, MonotonicTime aNow);
  const ResendCounters& Resends() const { return m_resends; }
  /// The caller cancelled the call. Replies NotRun when the call had not
  /// started; otherwise sends no reply.
  GuardActions Cancel(CallerLink aFrom, CallId aCall, MonotonicTime aNow);
  /// The caller's deadline is near. Replies NotRun and drops the call when it
  /// is waiting and no other call waits for its operation; otherwise does
  /// nothing.
  GuardActions Withdraw(CallerLink aFrom, CallId aCall, MonotonicTime aNow);
  /// The link was closed. Drops its waiting calls and aborts its running
  /// idempotent ones.
  GuardActions LinkClosed(CallerLink aFrom, MonotonicTime aNow);
  /// Returns the status of an operation. After NotReceived this attempt and
  /// earlier ones of the operation never run here.
  AskResult Ask(const Question& aQuestion, MonotonicTime aNow);
  /// Refuses the waiting calls that can't be answered before their deadline,
  /// and runs calls for which a slot is free.
  GuardActions Tick(MonotonicTime aNow);
  /// When Tick is due; not set when nothing is.
  std::optional<MonotonicTime> NextTick() const;

  /// Applies an announcement of the upstream; Absent when the announcement
  /// lapsed.
  GuardActions SetUpstream(const UpstreamAnnouncement& aUpstream,
                           MonotonicTime aNow);
  /// Sets the admission bounds from the owner's configuration.
  void SetBounds(const AdmissionBounds& aBounds)
  {
    m_policy->SetBounds(aBounds);
  }
  /// \name Whether the upstream is cold; without GuardSettings::m_cold these
  /// have no effect
  /// \{
  GuardActions SetColdBounds(const ColdBounds& aBounds, MonotonicTime aNow);
  /// Precondition: aHeartbeat is newer than the ones before.
  GuardActions OnHeartbeat(const UpstreamHeartbeat& aHeartbeat,
                           MonotonicTime aNow);
  /// The health request that was sent last has ended.
  /// \param aColdRemaining not set when it failed or told nothing.
  GuardActions OnHealthAnswer(std::optional<Duration> aColdRemaining,
                              MonotonicTime aNow);
  const ColdCounters& Cold() const { return m_coldCounters; }
  /// Whether starts are limited because the upstream is or may be cold.
  bool IsLimitedAsCold() const { return m_coldRate.has_value(); }
  /// \}
  /// Forgets what the upstream has stated about itself. Call when another
  /// process serves.
  void ResetNotice();
  /// While true, refuses waiting and new calls as Evacuated; running calls
  /// complete.
  GuardActions SetEvacuated(bool aIsEvacuated, MonotonicTime aNow);
  /// Refuses waiting and new calls from now on; running calls complete.
  GuardActions Drain(MonotonicTime aNow);
  /// True when no call is waiting or running.
  bool IsIdle() const { return m_entries.empty(); }

  /// The pace in it is that of the last event.
  LoadReport Load() const;
  /// Number of answers whose load report could not be read.
  std::uint64_t UnreadableLoads() const { return m_unreadableLoads; }
  /// Number of calls refused for this reason.
  std::uint64_t RefusedFor(RefusalReason aReason) const
  {
    return m_refused[static_cast<std::size_t>(aReason)];
  }
  AdmissionCounters Admission() const { return m_policy->Counters(); }
  const OperationTableCounters& OperationCounters() const
  {
    return m_operations.Counters();
  }

private:
  /// An admitted call.
  struct Entry
  {
    /// Its HTTP parts are released once it runs.
    Call m_call;
    std::vector<Waiter> m_waiters;
    /// The waiter whose node holds the body, until the body is complete.
    std::optional<Waiter> m_bodySource;
    bool m_hadDeferredBody = false;
    bool m_isRunning = false;
    bool m_isAborted = false;
    MonotonicTime m_arrived{};
    MonotonicTime m_started{};
    MonotonicTime m_deadline{};
    /// While it waits: refused by then, so that the reply arrives in time.
    MonotonicTime m_refuseAt{};
    MonotonicTime m_objective = MonotonicTime::max();
  };
  using Entries = std::unordered_map<Ticket, Entry>;

  Guard(const GuardSettings& aSettings,
        std::unique_ptr<AdmissionPolicy> aPolicy);

  /// Replies from the record of the operation. Returns false when the call is
  /// to be admitted as new.
  bool ReplyFromTable(const Call& aCall,
                      std::uint64_t aFingerprint,
                      CallerLink aFrom,
                      GuardActions& aActions);
  void AttachWaiter(const OperationEntry& aKnown,
                    const Call& aCall,
                    CallerLink aFrom,
                    GuardActions& aActions);
  RefusalReason CheckUpstream(const Call& aCall) const;
  void Admit(Call aCall, CallerLink aFrom, MonotonicTime aNow, GuardActions&);
  void RunNext(MonotonicTime aNow, GuardActions& aActions);
  /// Offers an entry that has its body to the admission policy.
  void Enqueue(Ticket aTicket, MonotonicTime aNow, GuardActions& aActions);
  WaitingCall WaitingCallOf(Ticket aTicket,
                            const Entry& aEntry,
                            MonotonicTime aNow) const;
  /// Requests the bodies for which the upstream will soon have a slot.
  void RequestBodies(MonotonicTime aNow, GuardActions& aActions);
  /// Removes a call that waits for its body or for a slot.
  void RemoveWaiting(Ticket aTicket);
  /// Applies what is known about the upstream's warmth to the limit of starts.
  void UpdateCold(MonotonicTime aNow, GuardActions& aActions);
  /// Admits the waiting calls anew, after the capacity has shrunk.
  void OfferAgain(MonotonicTime aNow, GuardActions& aActions);
  /// The tickets of the waiting calls, in the order of their arrival.
  std::vector<Ticket> WaitingTickets() const;
  /// Removes a waiting entry and replies NotRun to its waiters.
  void Refuse(Ticket aTicket,
              RefusalReason aReason,
              MonotonicTime aNow,
              GuardActions& aActions);
  void RefuseWaiting(RefusalReason aReason,
                     MonotonicTime aNow,
                     GuardActions& aActions);
  /// Removes one waiter of an entry. Cancels the entry when no waiter is left,
  /// unless it is a running non-idempotent call.
  void RemoveWaiter(Ticket aTicket,
                    const Waiter& aWaiter,
                    MonotonicTime aNow,
                    GuardActions& aActions);
  void ReplyTo(const Waiter& aWaiter, Answer aAnswer, GuardActions& aActions);
  /// Refuses a call that has no entry.
  void RefuseAtOnce(const Call& aCall,
                    CallerLink aFrom,
                    RefusalReason aReason,
                    GuardActions& aActions);
  static void RecordRefusal(const Call& aCall,
                            RefusalReason aReason,
                            GuardActions& aActions);
  void ReplyNotRun(const Waiter& aWaiter,
                   RefusalReason aReason,
                   Duration aRetryAfter,
                   GuardActions& aActions);
  /// When a slot is expected for a call that is refused because of load; zero
  /// for other reasons.
  Duration RetryAfter(Ticket aTicket,
                      const Entry& aEntry,
                      RefusalReason aReason,
                      MonotonicTime aNow);
  UpstreamCapacity Capacity(MonotonicTime aNow);
  /// Records the pace that the upstream reports.
  void RecordLoad(const UpstreamNotice& aNotice, MonotonicTime aNow);
  void ApplyNotice(const UpstreamNotice& aNotice,
                   MonotonicTime aNow,
                   GuardActions& aActions);
  bool IsServing() const
  {
    return m_upstream.m_state == UpstreamState::Starting ||
           m_upstream.m_state == UpstreamState::Live;
  }
  bool IsDraining() const
  {
    return m_isDraining || m_isEvacuated || m_notice.m_isLeaving ||
           m_upstream.m_state == UpstreamState::Draining;
  }

  GuardSettings m_settings;
  std::unique_ptr<AdmissionPolicy> m_policy;
  OperationTable m_operations;
  UpstreamAnnouncement m_upstream;
  bool m_isDraining = false;
  bool m_isEvacuated = false;
  UpstreamNotice m_notice;
  PaceRecord m_pace;
  /// What m_pace gave at the last event.
  PacePercent m_paceNow = kUsualPace;
  std::uint64_t m_unreadableLoads = 0;
  StartLimiter m_starts;
  ColdUpstream m_cold;
  /// The rate that m_coldStarts applies, as the service states it.
  std::optional<CallRate> m_coldRate;
  StartLimiter m_coldStarts;
  ColdCounters m_coldCounters;
  ResendCounters m_resends;
  /// Set while waiting calls can't start because of the rate limit.
  std::optional<MonotonicTime> m_nextStart;
  Entries m_entries;
  CallerLinks m_links;
  std::uint32_t m_running = 0;
  Ticket m_lastTicket;
  ServiceTimes m_serviceTimes;
  BodyTransfers m_bodies;
  /// Calls with a transferred body that wait for a slot.
  std::uint32_t m_waitingWithBody = 0;
  std::array<std::uint64_t, kRefusalReasons> m_refused{};
};

} // namespace tarragontray
