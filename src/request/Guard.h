/// \file
/// The guard of one upstream: the only way to it. Decides which call runs,
/// waits or is refused, and runs each non-idempotent operation at most once.
///
///     Result<Guard> guard = Guard::Create(settings, std::move(policy));
///     GuardActions actions = guard.value().Submit(call, link, now);
///     // Run: send the call to the upstream, later Finished(ticket, ...).
///     // AbortUpstream: close the upstream's connection, then Finished with
///     //   outcome Unknown.
///     // Reply: send the answer on the link; m_answer.m_id is the call's id.
///
/// What a guard refuses was never handed to the upstream, so its NotRun is
/// true. Calls that are known by their operation id are looked up before any
/// other check: a repeat joins the run or gets the kept answer even while the
/// guard drains.
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
#include "request/ServiceTimes.h"

namespace tarragontray {

struct GuardSettings
{
  /// The node's incarnation at its start. Questions about calls that were sent
  /// to an earlier one are answered Forgotten.
  Incarnation m_incarnation;
  OperationTableSettings m_operations;
  /// Links that may wait for one operation.
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

/// A call that was told that it was not run, for the log.
struct RefusedCall
{
  OperationId m_operation;
  RouteName m_route;
  RefusalReason m_reason = RefusalReason::None;
  Duration m_waited{ 0 };
  /// Until its deadline; below 0: it had passed.
  Duration m_left{ 0 };
};

/// Stop a running call.
struct AbortUpstream
{
  Ticket m_ticket;
};

/// What the driver has to do, in this order.
struct GuardActions
{
  std::vector<AbortUpstream> m_aborts;
  std::vector<Reply> m_replies;
  std::vector<Run> m_runs;
  std::vector<RefusedCall> m_refused;
};

/// The answer to a question about an operation.
struct AskResult
{
  OperationStatus m_status = OperationStatus::Forgotten;
  /// Set for Done.
  std::optional<Answer> m_answer;
};

/// Which attempt is asked about, as the entry node knows it.
struct Question
{
  OperationKey m_key;
  /// The attempt that was lost; kAllAttempts asks whether this place ever ran
  /// the operation, which a draining one can't rule out: repeats went to the
  /// next home of the key.
  std::uint8_t m_attempt = 1;
  /// Target::m_incarnation of the view that the attempt was sent by.
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
  /// A Run ended: Done, Unknown, or NotRun when the upstream shed the call.
  GuardActions Finished(Ticket aTicket, Answer aAnswer, MonotonicTime aNow);
  /// The caller does not wait any longer. Replies NotRun when the call had
  /// not run; replies nothing otherwise.
  GuardActions Cancel(CallerLink aFrom, CallId aCall, MonotonicTime aNow);
  /// The link is gone; its waiting calls are dropped, its running idempotent
  /// ones aborted.
  GuardActions LinkClosed(CallerLink aFrom, MonotonicTime aNow);
  /// What became of an operation. After NotReceived this attempt and earlier
  /// ones of the operation never run here.
  AskResult Ask(const Question& aQuestion, MonotonicTime aNow);
  /// Refuses the waiting calls that can't be answered in time any more.
  GuardActions Tick(MonotonicTime aNow);
  /// When Tick is due; not set when nothing waits.
  std::optional<MonotonicTime> NextTick() const;

  /// What the upstream announced of itself; Absent when it lapsed.
  GuardActions SetUpstream(const UpstreamAnnouncement& aUpstream,
                           MonotonicTime aNow);
  /// Bounds of admission, from the owner's configuration.
  void SetBounds(const AdmissionBounds& aBounds)
  {
    m_policy->SetBounds(aBounds);
  }
  /// Refuses waiting and new calls from now on; running ones go on.
  GuardActions Drain(MonotonicTime aNow);
  /// True when nothing waits or runs.
  bool IsIdle() const { return m_entries.empty(); }

  LoadReport Load() const;
  /// Calls refused for this reason so far.
  std::uint64_t RefusedFor(RefusalReason aReason) const
  {
    return m_refused[static_cast<std::size_t>(aReason)];
  }
  const OperationTableCounters& OperationCounters() const
  {
    return m_operations.Counters();
  }

private:
  /// An admitted call.
  struct Entry
  {
    /// Without its HTTP parts once it runs.
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

  /// Answers from what is known of the operation; false when it is new.
  bool ReplyFromTable(const Call& aCall,
                      std::uint64_t aFingerprint,
                      CallerLink aFrom,
                      GuardActions& aActions);
  void Join(const OperationEntry& aKnown,
            const Call& aCall,
            CallerLink aFrom,
            GuardActions& aActions);
  RefusalReason CheckUpstream(const Call& aCall) const;
  void Admit(Call aCall, CallerLink aFrom, MonotonicTime aNow, GuardActions&);
  void RunNext(MonotonicTime aNow, GuardActions& aActions);
  /// Removes a waiting entry and tells its waiters that it was not run.
  void Refuse(Ticket aTicket,
              RefusalReason aReason,
              MonotonicTime aNow,
              GuardActions& aActions);
  void RefuseWaiting(RefusalReason aReason,
                     MonotonicTime aNow,
                     GuardActions& aActions);
  /// One waiter gave up.
  void Leave(Ticket aTicket,
             const Waiter& aWaiter,
             MonotonicTime aNow,
             GuardActions& aActions);
  void ReplyTo(const Waiter& aWaiter, Answer aAnswer, GuardActions& aActions);
  /// Refuses a call that never became an entry.
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
  UpstreamCapacity Room() const;
  bool IsDraining() const
  {
    return m_isDraining || m_upstream.m_state == UpstreamState::Draining;
  }

  GuardSettings m_settings;
  std::unique_ptr<AdmissionPolicy> m_policy;
  OperationTable m_operations;
  UpstreamAnnouncement m_upstream;
  bool m_isDraining = false;
  Entries m_entries;
  CallerLinks m_links;
  std::uint32_t m_running = 0;
  Ticket m_lastTicket;
  ServiceTimes m_serviceTimes;
  std::array<std::uint64_t, kRefusalReasons> m_refused{};
};

} // namespace tarragontray
