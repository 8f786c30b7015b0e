#include "request/ObjectiveAdmission.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tarragontray {

namespace {

/// Part of the usual service time that must be left before the deadline when a
/// call starts. Less than one, because some calls are faster than the usual.
constexpr double kMinServiceFraction = 0.5;

Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

/// When it is too late to start a call that is to end by aEnd.
MonotonicTime
LatestStart(const WaitingCall& aCall, MonotonicTime aEnd, double aPart)
{
  return aEnd == MonotonicTime::max()
           ? aEnd
           : aEnd - Scaled(aCall.m_serviceTime, aPart);
}

MonotonicTime
LatestTimelyStart(const WaitingCall& aCall)
{
  return std::min(LatestStart(aCall, aCall.m_objective, 1.0),
                  LatestStart(aCall, aCall.m_deadline, kMinServiceFraction));
}

MonotonicTime
LatestUsefulStart(const WaitingCall& aCall)
{
  return LatestStart(aCall, aCall.m_deadline, kMinServiceFraction);
}

/// What orders the waiting calls: urgency, then the quick ones, then aEnd.
auto
Rank(const WaitingCall& aCall, MonotonicTime aEnd)
{
  return std::tuple(
    aCall.m_priority, !aCall.m_isQuick, aEnd, aCall.m_ticket.Value());
}

bool
TimelyPrecedes(const WaitingCall& aLeft, const WaitingCall& aRight)
{
  return Rank(aLeft, aLeft.m_objective) < Rank(aRight, aRight.m_objective);
}

bool
LatePrecedes(const WaitingCall& aLeft, const WaitingCall& aRight)
{
  return Rank(aLeft, aLeft.m_deadline) < Rank(aRight, aRight.m_deadline);
}

} // namespace

Result<std::unique_ptr<AdmissionPolicy>>
ObjectiveAdmission::Create(AdmissionBounds aBounds)
{
  if (aBounds.m_limit == 0) {
    return Error(ErrorCode::InvalidArgument, "admission.create", "", "limit=0");
  }
  return std::unique_ptr<AdmissionPolicy>(
    new ObjectiveAdmission(std::move(aBounds)));
}

void
ObjectiveAdmission::SetBounds(const AdmissionBounds& aBounds)
{
  m_bounds = aBounds;
}

Duration
ObjectiveAdmission::ExpectedWait(const WaitingCall& aCall,
                                 bool aIsLate,
                                 const UpstreamCapacity& aCapacity) const
{
  const std::uint32_t slots = std::max(1U, aCapacity.m_slots.Value());
  if (aCapacity.m_running < slots) {
    return Duration(0);
  }
  // One slot falls free each 1/slots of the usual service time.
  Duration ahead = aCapacity.m_serviceTime;
  for (const WaitingCall& waiting : m_timely) {
    if (!aIsLate && !TimelyPrecedes(waiting, aCall)) {
      return ahead / slots;
    }
    ahead += waiting.m_serviceTime;
  }
  for (const WaitingCall& waiting : m_late) {
    if (!aIsLate || !LatePrecedes(waiting, aCall)) {
      break;
    }
    ahead += waiting.m_serviceTime;
  }
  return ahead / slots;
}

std::vector<Refused>
ObjectiveAdmission::Offer(const WaitingCall& aCall,
                          const UpstreamCapacity& aCapacity,
                          MonotonicTime aNow)
{
  Demote(aNow);
  WaitingCall call = aCall;
  if (call.m_isQuick) {
    // It holds up nobody, and who waits for it may still be in time.
    call.m_objective = call.m_deadline;
  }
  const bool isLate =
    aNow + ExpectedWait(call, false, aCapacity) > LatestTimelyStart(call);
  if (isLate &&
      aNow + ExpectedWait(call, true, aCapacity) > LatestUsefulStart(call)) {
    return { { call.m_ticket, RefusalReason::DeadlineTooShort } };
  }
  if (Size() >= m_bounds.m_limit) {
    return OfferToFull(call, isLate);
  }
  Append(call, isLate);
  return {};
}

std::vector<Refused>
ObjectiveAdmission::OfferToFull(const WaitingCall& aCall, bool aIsLate)
{
  std::vector<WaitingCall>& calls = m_late.empty() ? m_timely : m_late;
  const WaitingCall victim = calls.back();
  const bool isBetter = m_late.empty()
                          ? !aIsLate && TimelyPrecedes(aCall, victim)
                          : !aIsLate || LatePrecedes(aCall, victim);
  if (!isBetter) {
    return { { aCall.m_ticket, RefusalReason::QueueFull } };
  }
  calls.pop_back();
  Append(aCall, aIsLate);
  return { { victim.m_ticket, RefusalReason::QueueFull } };
}

void
ObjectiveAdmission::Demote(MonotonicTime aNow)
{
  for (auto call = m_timely.begin(); call != m_timely.end();) {
    if (LatestTimelyStart(*call) >= aNow) {
      ++call;
      continue;
    }
    const WaitingCall late = *call;
    call = m_timely.erase(call);
    Append(late, true);
  }
}

void
ObjectiveAdmission::Append(const WaitingCall& aCall, bool aIsLate)
{
  std::vector<WaitingCall>& calls = aIsLate ? m_late : m_timely;
  const auto place = std::upper_bound(
    calls.begin(), calls.end(), aCall, aIsLate ? LatePrecedes : TimelyPrecedes);
  calls.insert(place, aCall);
}

std::optional<Ticket>
ObjectiveAdmission::Next(const UpstreamCapacity& aCapacity,
                         MonotonicTime /*aNow*/)
{
  std::vector<WaitingCall>& calls = m_timely.empty() ? m_late : m_timely;
  if (calls.empty() || aCapacity.m_running >= aCapacity.m_slots.Value()) {
    return std::nullopt;
  }
  const Ticket ticket = calls.front().m_ticket;
  calls.erase(calls.begin());
  return ticket;
}

std::vector<Refused>
ObjectiveAdmission::TakeExpired(MonotonicTime aNow)
{
  Demote(aNow);
  std::vector<Refused> refused;
  std::erase_if(m_late, [&](const WaitingCall& aCall) {
    const bool isUnreachable = LatestUsefulStart(aCall) < aNow;
    if (isUnreachable) {
      refused.push_back({ aCall.m_ticket, RefusalReason::DeadlineTooShort });
    }
    return isUnreachable;
  });
  return refused;
}

std::optional<MonotonicTime>
ObjectiveAdmission::NextExpiry() const
{
  std::optional<MonotonicTime> next;
  for (const std::vector<WaitingCall>* calls : { &m_timely, &m_late }) {
    for (const WaitingCall& call : *calls) {
      next =
        std::min(next.value_or(MonotonicTime::max()), LatestUsefulStart(call));
    }
  }
  return next;
}

bool
ObjectiveAdmission::Remove(Ticket aTicket)
{
  const auto isIt = [&](const WaitingCall& aCall) {
    return aCall.m_ticket == aTicket;
  };
  return std::erase_if(m_timely, isIt) + std::erase_if(m_late, isIt) > 0;
}

} // namespace tarragontray
