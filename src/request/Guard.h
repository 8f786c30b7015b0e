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
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "process/MemberRecord.h"
#include "request/AdmissionPolicy.h"
#include "request/Call.h"
#include "request/CallerLinks.h"
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
  /// Maximum number of calls that may wait for one operation.
  std::size_t m_maxWaiters = 16;
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
};

/// Cancel a running call.
struct AbortUpstream
{
  Ticket m_ticket;
};

/// The actions that the driver must carry out, in this order.
struct GuardActions
{
  std::vector<AbortUpstream> m_aborts;
  std::vector<Reply> m_replies;
  std::vector<Run> m_runs;
  std::vector<RefusedCall> m_refused;
  /// Set when the upstream has stated something else about itself than before.
  std::optional<UpstreamNotice> m_notice;
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
  /// A run ended with Done, Unknown, or NotRun when the upstream shed the call.
  GuardActions Finished(Ticket aTicket, Answer aAnswer, MonotonicTime aNow);
  /// The caller cancelled the call. Replies NotRun when the call had not
  /// started; otherwise sends no reply.
  GuardActions Cancel(CallerLink aFrom, CallId aCall, MonotonicTime aNow);
  /// The link was closed. Drops its waiting calls and aborts its running
  /// idempotent ones.
  GuardActions LinkClosed(CallerLink aFrom, MonotonicTime aNow);
  /// Returns the status of an operation. After NotReceived this attempt and
  /// earlier ones of the operation never run here.
  AskResult Ask(const Question& aQuestion, MonotonicTime aNow);
  /// Refuses the waiting calls that can't be answered before their deadline,
  /// and runs calls for which a slot is free.
  GuardActions Tick(MonotonicTime aNow);
  /// When Tick is due; not set when no call is waiting.
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
  /// Forgets what the upstream has stated about itself. Call when another
  /// process serves.
  void ResetNotice();
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
    bool m_isRunning = false;
    MonotonicTime m_arrived{};
    MonotonicTime m_started{};
    MonotonicTime m_deadline{};
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
                   GuardActions& aActions);
  UpstreamCapacity Capacity(MonotonicTime aNow);
  /// Records the pace that the upstream reports.
  void RecordLoad(const UpstreamNotice& aNotice, MonotonicTime aNow);
  void ApplyNotice(const UpstreamNotice& aNotice,
                   MonotonicTime aNow,
                   GuardActions& aActions);
  bool IsDraining() const
  {
    return m_isDraining || m_notice.m_isLeaving ||
           m_upstream.m_state == UpstreamState::Draining;
  }

  GuardSettings m_settings;
  std::unique_ptr<AdmissionPolicy> m_policy;
  OperationTable m_operations;
  UpstreamAnnouncement m_upstream;
  bool m_isDraining = false;
  UpstreamNotice m_notice;
  PaceRecord m_pace;
  /// What m_pace gave at the last event.
  PacePercent m_paceNow = kUsualPace;
  std::uint64_t m_unreadableLoads = 0;
  StartLimiter m_starts;
  /// Set while waiting calls can't start because of the rate limit.
  std::optional<MonotonicTime> m_nextStart;
  Entries m_entries;
  CallerLinks m_links;
  std::uint32_t m_running = 0;
  Ticket m_lastTicket;
  ServiceTimes m_serviceTimes;
  std::array<std::uint64_t, kRefusalReasons> m_refused{};
};

} // namespace tarragontray
