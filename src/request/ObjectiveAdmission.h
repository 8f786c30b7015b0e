/// \file
/// Admission by latency objective, to maximise the calls answered within it.
///
/// Timely calls, which can still meet their objective, run first. They are
/// ordered by priority, then quick calls before others, then by objective. Late
/// calls, which have missed their objective or are expected to miss it, run
/// only when no timely call is waiting. A call counts as late once it can't
/// keep a margin beyond its mean service time: under overload, calls start as
/// late as they may, and one in two or three takes longer than the mean. A
/// quick call counts as late only when it can't meet its deadline, and is
/// raised by one priority while quick calls use less than a third of the slots:
/// most are inner calls, whose parents hold a slot of another upstream and fail
/// when they are refused. Under overload, this gives the slots to calls that
/// can meet their objective, where a first-in, first-out queue would make all
/// calls late. A call is refused when the queue ahead of it, and the calls of
/// earlier groups that are expected to arrive meanwhile, leave no time to
/// answer it before its deadline. Late calls are refused as soon as that is so.
///
/// Within a priority, the calls of an account that used more than its share of
/// the slot time come after those of others (AccountShares), and an account
/// can't hold more than half of the queue while there are others. Calls that
/// carry the owner's id are of no account.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/Result.h"
#include "request/AccountShares.h"
#include "request/AdmissionPolicy.h"
#include "request/LateBacklog.h"
#include "request/RecentUse.h"

namespace tarragontray {

class ObjectiveAdmission final : public AdmissionPolicy
{
public:
  /// Errors: InvalidArgument when the limit is 0.
  static Result<std::unique_ptr<AdmissionPolicy>> Create(
    AdmissionBounds aBounds);

  void SetBounds(const AdmissionBounds& aBounds) override;
  std::vector<Refused> Offer(const WaitingCall& aCall,
                             const UpstreamCapacity& aCapacity,
                             MonotonicTime aNow) override;
  std::optional<Ticket> Next(const UpstreamCapacity& aCapacity,
                             MonotonicTime aNow) override;
  std::vector<Refused> TakeExpired(MonotonicTime aNow) override;
  std::optional<MonotonicTime> NextExpiry() const override;
  bool Remove(Ticket aTicket) override;
  void Released(const ClientAccountId& /*aCaller*/) override {}
  std::size_t Size() const override { return m_timely.size() + m_late.size(); }
  Duration ExpectedStart(const WaitingCall& aCall,
                         const UpstreamCapacity& aCapacity,
                         MonotonicTime aNow) const override;
  AdmissionCounters Counters() const override
  {
    return { m_shares.ActiveAccounts(), m_shares.Untracked(), m_overShare };
  }

private:
  explicit ObjectiveAdmission(AdmissionBounds aBounds)
    : m_bounds(std::move(aBounds))
  {
  }

  /// What the order of starts depends on first: timely calls precede late ones,
  /// whatever their priority.
  struct StartGroup
  {
    bool m_isLate = false;
    std::uint8_t m_priority = 0;

    auto operator<=>(const StartGroup&) const = default;
  };
  /// Starts and slot time in seconds of the calls of one group.
  struct StartRate
  {
    RecentUse m_starts{ kRateTime };
    RecentUse m_work{ kRateTime };
  };
  /// Time constant of the rates of starts.
  static constexpr Duration kRateTime = std::chrono::seconds(1);

  /// The wait for the upstream's rate limit, with aCallsAhead calls first.
  Duration WaitForStart(const StartGroup& aGroup,
                        int aCallsAhead,
                        const UpstreamCapacity& aCapacity,
                        MonotonicTime aNow) const;
  /// The wait for a slot, with calls of aWork service time first.
  Duration WaitForSlot(const StartGroup& aGroup,
                       Duration aWork,
                       const UpstreamCapacity& aCapacity,
                       MonotonicTime aNow) const;
  /// The wait for both.
  Duration Wait(const StartGroup& aGroup,
                Duration aWork,
                int aCallsAhead,
                const UpstreamCapacity& aCapacity,
                MonotonicTime aNow) const;
  void RecordStart(const StartGroup& aGroup,
                   Duration aServiceTime,
                   MonotonicTime aNow);
  /// Expected time until the call would start in the timely or the late queue.
  Duration ExpectedWait(const WaitingCall& aCall,
                        bool aIsLate,
                        const UpstreamCapacity& aCapacity,
                        MonotonicTime aNow) const;
  /// Removes the late calls that are not expected to start in time for their
  /// deadline.
  void RefuseHopeless(const UpstreamCapacity& aCapacity,
                      MonotonicTime aNow,
                      std::vector<Refused>& aRefused);
  /// Gives the call the next more urgent priority, except the highest, while
  /// quick calls leave most of the slots to others.
  void RaiseQuickCall(WaitingCall& aCall,
                      const UpstreamCapacity& aCapacity,
                      MonotonicTime aNow) const;
  /// True for a call of a client account. Calls without one, which include all
  /// inner calls, carry the owner's id and must not be held back as its calls.
  bool IsOfAnAccount(const WaitingCall& aCall) const
  {
    return aCall.m_caller != m_bounds.m_owner;
  }
  /// True when the account of the call holds half of the queue and there are
  /// others.
  bool HoldsMostOfQueue(const WaitingCall& aCall) const;
  /// Adds the call in place of the last one of its account, or refuses it.
  /// Precondition: HoldsMostOfQueue.
  std::vector<Refused> OfferWithinAccount(const WaitingCall& aCall,
                                          bool aIsLate);
  std::vector<Refused> OfferToFull(const WaitingCall& aCall, bool aIsLate);
  void Append(const WaitingCall& aCall, bool aIsLate);
  /// Moves timely calls that can't meet their objective to the late queue.
  void DemoteLateCalls(MonotonicTime aNow);
  /// Removes the late calls that are not expected to start in time, the least
  /// urgent first.
  void Shorten(MonotonicTime aNow, std::vector<Refused>& aRefused);

  /// In the order in which the groups start.
  std::map<StartGroup, StartRate> m_starts;
  AdmissionBounds m_bounds;
  AccountShares m_shares;
  std::uint64_t m_overShare = 0;
  /// Slot time of the quick calls that started in the last seconds.
  RecentUse m_quickUse{ std::chrono::seconds(2) };
  /// Sorted by priority, then accounts within their share, then quick calls
  /// first, then objective.
  std::vector<WaitingCall> m_timely;
  /// As m_timely, with the deadline for the objective.
  std::vector<WaitingCall> m_late;
  LateBacklog m_backlog;
  /// As of the last Offer or Next.
  UpstreamCapacity m_capacity;
};

} // namespace tarragontray
