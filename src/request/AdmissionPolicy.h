/// \file
/// Interface for the queue of calls in front of one upstream: which call waits,
/// which runs next and which is refused.
///
///     Admission admission = policy->Offer(waiting, capacity, now);
///     ...
///     while (std::optional<Ticket> next = policy->Next(capacity, now)) { ... }
///     policy->Released(caller);
///
/// The guard owns the calls and counts the running ones.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// Identifies one call within its guard. Assigned in ascending order.
using Ticket = Amount<struct TicketTag>;

/// A call that is waiting for a slot.
struct WaitingCall
{
  Ticket m_ticket;
  ClientAccountId m_caller;
  /// Calls with a lower number run first.
  std::uint8_t m_priority = 0;
  /// The caller doesn't accept an answer after this time.
  MonotonicTime m_deadline{};
  /// The latency objective of the call. Already past on arrival when earlier
  /// attempts took too long.
  MonotonicTime m_objective = MonotonicTime::max();
  /// Mean time that calls of this route take in the upstream; 0 when unknown.
  Duration m_serviceTime{ 0 };
  /// Time that the call should keep before its objective beyond m_serviceTime;
  /// set by policies that use one.
  Duration m_margin{ 0 };
  /// The call's account used more than its share; set by policies that keep
  /// shares.
  bool m_isOverShare = false;
  /// Calls of this route take much less time than the mean holding time of a
  /// slot (see ServiceTimes::IsQuick).
  bool m_isQuick = false;
};

/// Slots and current use of the guard's upstream.
struct UpstreamCapacity
{
  SlotCount m_slots{ 0 };
  std::uint32_t m_running = 0;
  /// Mean time of one call in the upstream; 0 when unknown.
  Duration m_serviceTime{ 0 };
  /// While the upstream limits its rate of calls: the time between two starts,
  /// and the time until the next one. 0 without a limit.
  Duration m_startInterval{ 0 };
  Duration m_startDelay{ 0 };
};

/// A call to be refused, and why.
struct Refused
{
  Ticket m_ticket;
  RefusalReason m_reason = RefusalReason::None;
};

/// The owner of the upstream's service, and the limits from the owner's
/// configuration.
struct AdmissionBounds
{
  /// Calls from any other account are foreign.
  ClientAccountId m_owner;
  /// Maximum number of waiting calls, at least 1.
  std::size_t m_limit = 64;
  /// Share of the slots that all foreign accounts together may use.
  Share m_foreignShare = Share::FromFraction(0.5);

  bool operator==(const AdmissionBounds&) const = default;
};

/// Figures of a policy, for metrics.
struct AdmissionCounters
{
  /// Accounts that offered a call in the last seconds; 0 for a policy that
  /// keeps no shares.
  std::size_t m_activeAccounts = 0;
  /// Calls of accounts beyond the number for which shares are kept.
  std::uint64_t m_untracked = 0;
  /// Calls that came after others because their account was over its share.
  std::uint64_t m_overShare = 0;
};

/// Orders and bounds the waiting calls.
/// Thread safety: one thread for each instance.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// Sets the bounds for calls that arrive from now on.
  virtual void SetBounds(const AdmissionBounds& aBounds) = 0;

  /// Adds a call. Returns the calls that must be refused as a result, which may
  /// include aCall itself.
  virtual std::vector<Refused> Offer(const WaitingCall& aCall,
                                     const UpstreamCapacity& aCapacity,
                                     MonotonicTime aNow) = 0;
  /// Removes and returns the next call to run, or nothing when no call may run.
  /// The guard counts the call as running until it calls Released.
  virtual std::optional<Ticket> Next(const UpstreamCapacity& aCapacity,
                                     MonotonicTime aNow) = 0;
  /// Removes and returns the calls that can't be answered before their
  /// deadline.
  virtual std::vector<Refused> TakeExpired(MonotonicTime aNow) = 0;
  /// The earliest time at which TakeExpired may return a call; not set when no
  /// call can expire.
  virtual std::optional<MonotonicTime> NextExpiry() const = 0;
  /// Removes a waiting call. Returns false when the call isn't waiting.
  virtual bool Remove(Ticket aTicket) = 0;
  /// A call that Next returned has ended.
  virtual void Released(const ClientAccountId& aCaller) = 0;
  /// Number of waiting calls.
  virtual std::size_t Size() const = 0;
  /// The expected time until a call like aCall would start if it arrived now.
  /// For callers that are refused; by default, after all calls that wait.
  virtual Duration ExpectedStart(const WaitingCall& /*aCall*/,
                                 const UpstreamCapacity& aCapacity,
                                 MonotonicTime /*aNow*/) const
  {
    const std::uint32_t slots = std::max(1U, aCapacity.m_slots.Value());
    return aCapacity.m_running < slots
             ? Duration(0)
             : aCapacity.m_serviceTime * static_cast<int>(Size() + 1) / slots;
  }
  virtual AdmissionCounters Counters() const { return {}; }
};

} // namespace tarragontray
