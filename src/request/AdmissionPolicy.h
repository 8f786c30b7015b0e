/// \file
/// The queue of calls in front of one upstream: who waits, who runs next, who
/// is refused.
///
///     Admission admission = policy->Offer(waiting, room, now);
///     ...
///     while (std::optional<Ticket> next = policy->Next(room, now)) { ... }
///     policy->Released(caller);
///
/// The guard counts the running calls and owns the calls themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Ids.h"
#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// One admitted call within its guard; rises with each call.
using Ticket = Amount<struct TicketTag>;

/// A call that wants a slot.
struct WaitingCall
{
  Ticket m_ticket;
  ClientAccountId m_caller;
  /// Lower runs first.
  std::uint8_t m_priority = 0;
  /// After this time its answer is of no use.
  MonotonicTime m_deadline{};
  /// An answer by this time is worth most. On arrival behind the present: it
  /// is late already.
  MonotonicTime m_objective = MonotonicTime::max();
  /// Smoothed time that calls of its route take in the upstream; 0: unknown.
  Duration m_serviceTime{ 0 };
  /// It takes a small part of what a used slot is held for.
  bool m_isQuick = false;
};

/// What the guard knows of its upstream.
struct UpstreamCapacity
{
  SlotCount m_slots{ 0 };
  std::uint32_t m_running = 0;
  /// Smoothed time of one call in the upstream; 0 while unknown.
  Duration m_serviceTime{ 0 };
};

/// A waiting call that has to be refused.
struct Refused
{
  Ticket m_ticket;
  RefusalReason m_reason = RefusalReason::None;
};

/// The owner of the upstream's service, and what the owner's configuration
/// allows.
struct AdmissionBounds
{
  /// All other accounts are foreign.
  ClientAccountId m_owner;
  /// Calls that may wait, at least 1.
  std::size_t m_limit = 64;
  /// Share of the slots that foreign accounts may hold together.
  Share m_foreignShare = Share::FromFraction(0.5);

  bool operator==(const AdmissionBounds&) const = default;
};

/// Orders and bounds the waiting calls.
/// Thread safety: one thread for each instance.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// New bounds for the calls that come from now on.
  virtual void SetBounds(const AdmissionBounds& aBounds) = 0;

  /// Adds a call. Returns the calls to refuse for it, maybe itself.
  virtual std::vector<Refused> Offer(const WaitingCall& aCall,
                                     const UpstreamCapacity& aCapacity,
                                     MonotonicTime aNow) = 0;
  /// Takes the call that runs now, if one may. The caller counts it as
  /// running until Released.
  virtual std::optional<Ticket> Next(const UpstreamCapacity& aCapacity,
                                     MonotonicTime aNow) = 0;
  /// Takes the calls that can't be answered in time any more.
  virtual std::vector<Refused> TakeExpired(MonotonicTime aNow) = 0;
  /// When TakeExpired may have something; not set when never.
  virtual std::optional<MonotonicTime> NextExpiry() const = 0;
  /// Removes a waiting call; false when it isn't here.
  virtual bool Remove(Ticket aTicket) = 0;
  /// A call that Next gave has ended.
  virtual void Released(const ClientAccountId& aCaller) = 0;
  /// Waiting calls.
  virtual std::size_t Size() const = 0;
};

} // namespace tarragontray
