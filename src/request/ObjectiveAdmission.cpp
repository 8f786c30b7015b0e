#include "request/ObjectiveAdmission.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tarragontray {

namespace {

/// Fraction of the mean service time that must remain before the deadline when
/// a call starts. Less than 1, because some calls are faster than the mean.
constexpr double kMinServiceFraction = 0.5;

/// The margin of a call before its objective, as a fraction of its mean service
/// time: four in five calls take less than 1.5 times the mean.
constexpr double kMarginFraction = 0.5;
/// A margin above this fraction of the time that a call can wait would make
/// calls late whose objective leaves little time beyond their service time.
constexpr double kMaxSlackFraction = 0.5;

/// No call is raised to this priority.
constexpr std::uint8_t kMostUrgent = 0;
/// Quick calls are raised while they use less than this part of the slots, so
/// that they can't starve the others.
constexpr double kQuickShare = 1.0 / 3;

/// When calls of earlier groups leave less than this fraction of the upstream's
/// slots or rate limit, a call is not expected to start.
constexpr double kMinRateLeft = 0.05;
constexpr Duration kNoStart = std::chrono::hours(1);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

/// The latest time at which the call may start to end by aEnd, with aFraction
/// of its mean service time.
MonotonicTime
LatestStart(const WaitingCall& aCall, MonotonicTime aEnd, double aFraction)
{
  return aEnd == MonotonicTime::max()
           ? aEnd
           : aEnd - Scaled(aCall.m_serviceTime, aFraction);
}

MonotonicTime
LatestTimelyStart(const WaitingCall& aCall)
{
  return std::min(aCall.m_objective == MonotonicTime::max()
                    ? aCall.m_objective
                    : aCall.m_objective - aCall.m_serviceTime - aCall.m_margin,
                  LatestStart(aCall, aCall.m_deadline, kMinServiceFraction));
}

/// The time before its objective that a call keeps beyond its mean service
/// time. Under overload most calls start as late as they may; with no margin,
/// about two in five of them would take longer than the mean and miss their
/// objective. \param aLeft time from the arrival to the objective.
Duration
MarginOf(Duration aServiceTime, Duration aLeft)
{
  const Duration slack = std::max(aLeft - aServiceTime, Duration(0));
  return std::min(Scaled(aServiceTime, kMarginFraction),
                  Scaled(slack, kMaxSlackFraction));
}

MonotonicTime
LatestUsefulStart(const WaitingCall& aCall)
{
  return LatestStart(aCall, aCall.m_deadline, kMinServiceFraction);
}

/// Sort key of waiting calls: priority, then accounts within their share, then
/// quick calls, then aEnd, then order of arrival.
auto
SortKey(const WaitingCall& aCall, MonotonicTime aEnd)
{
  return std::tuple(aCall.m_priority,
                    aCall.m_isOverShare,
                    !aCall.m_isQuick,
                    aEnd,
                    aCall.m_ticket.Value());
}

bool
TimelyPrecedes(const WaitingCall& aLeft, const WaitingCall& aRight)
{
  return SortKey(aLeft, aLeft.m_objective) <
         SortKey(aRight, aRight.m_objective);
}

bool
LatePrecedes(const WaitingCall& aLeft, const WaitingCall& aRight)
{
  return SortKey(aLeft, aLeft.m_deadline) < SortKey(aRight, aRight.m_deadline);
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
ObjectiveAdmission::WaitForStart(const StartGroup& aGroup,
                                 int aCallsAhead,
                                 const UpstreamCapacity& aCapacity,
                                 MonotonicTime aNow) const
{
  const Duration wait =
    aCapacity.m_startDelay + aCallsAhead * aCapacity.m_startInterval;
  if (wait <= Duration::zero()) {
    return wait;
  }
  // Calls of earlier groups that arrive during the wait start first.
  double earlier = 0;
  for (const auto& [group, rate] : m_starts) {
    earlier += group < aGroup ? rate.m_starts.PerSecond(aNow) : 0.0;
  }
  const double left = 1.0 - earlier * Seconds(aCapacity.m_startInterval);
  return left <= kMinRateLeft ? kNoStart : Scaled(wait, 1.0 / left);
}

Duration
ObjectiveAdmission::WaitForSlot(const StartGroup& aGroup,
                                Duration aWork,
                                const UpstreamCapacity& aCapacity,
                                MonotonicTime aNow) const
{
  const std::uint32_t slots = std::max(1U, aCapacity.m_slots.Value());
  if (aCapacity.m_running < slots) {
    return Duration(0);
  }
  // On average a slot becomes free every mean service time / slots. Calls of
  // earlier groups that arrive during the wait take their part of them.
  double earlier = 0;
  for (const auto& [group, rate] : m_starts) {
    earlier += group < aGroup ? rate.m_work.PerSecond(aNow) : 0.0;
  }
  const double left = 1.0 - earlier / slots;
  return left <= kMinRateLeft
           ? kNoStart
           : Scaled((aCapacity.m_serviceTime + aWork) / slots, 1.0 / left);
}

Duration
ObjectiveAdmission::Wait(const StartGroup& aGroup,
                         Duration aWork,
                         int aCallsAhead,
                         const UpstreamCapacity& aCapacity,
                         MonotonicTime aNow) const
{
  return std::max(WaitForStart(aGroup, aCallsAhead, aCapacity, aNow),
                  WaitForSlot(aGroup, aWork, aCapacity, aNow));
}

void
ObjectiveAdmission::RecordStart(const StartGroup& aGroup,
                                Duration aServiceTime,
                                MonotonicTime aNow)
{
  StartRate& own = m_starts[aGroup];
  own.m_starts.Add(1, aNow);
  own.m_work.Add(Seconds(aServiceTime), aNow);
}

Duration
ObjectiveAdmission::ExpectedWait(const WaitingCall& aCall,
                                 bool aIsLate,
                                 const UpstreamCapacity& aCapacity,
                                 MonotonicTime aNow) const
{
  Duration work{ 0 };
  int calls = 0;
  for (const WaitingCall& waiting : m_timely) {
    if (!aIsLate && !TimelyPrecedes(waiting, aCall)) {
      break;
    }
    work += waiting.m_serviceTime;
    ++calls;
  }
  for (const WaitingCall& waiting : m_late) {
    if (!aIsLate || !LatePrecedes(waiting, aCall)) {
      break;
    }
    work += waiting.m_serviceTime;
    ++calls;
  }
  return Wait({ aIsLate, aCall.m_priority }, work, calls, aCapacity, aNow);
}

void
ObjectiveAdmission::RefuseHopeless(const UpstreamCapacity& aCapacity,
                                   MonotonicTime aNow,
                                   std::vector<Refused>& aRefused)
{
  Duration work{ 0 };
  for (const WaitingCall& waiting : m_timely) {
    work += waiting.m_serviceTime;
  }
  auto calls = static_cast<int>(m_timely.size());
  std::erase_if(m_late, [&](const WaitingCall& aCall) {
    const Duration wait =
      Wait({ true, aCall.m_priority }, work, calls, aCapacity, aNow);
    if (aNow + wait > LatestUsefulStart(aCall)) {
      aRefused.push_back({ aCall.m_ticket, RefusalReason::DeadlineTooShort });
      return true;
    }
    work += aCall.m_serviceTime;
    ++calls;
    return false;
  });
}

std::vector<Refused>
ObjectiveAdmission::Offer(const WaitingCall& aCall,
                          const UpstreamCapacity& aCapacity,
                          MonotonicTime aNow)
{
  m_capacity = aCapacity;
  DemoteLateCalls(aNow);
  WaitingCall call = aCall;
  if (call.m_objective != MonotonicTime::max()) {
    call.m_margin = MarginOf(call.m_serviceTime, call.m_objective - aNow);
  }
  if (IsOfAnAccount(call)) {
    m_shares.OnOffered(call.m_caller, aNow);
    call.m_isOverShare = m_shares.IsOverShare(call.m_caller, aNow);
    m_overShare += call.m_isOverShare ? 1 : 0;
  }
  if (call.m_isQuick) {
    // A quick call delays others little, and its caller may still meet an
    // objective of its own.
    call.m_objective = call.m_deadline;
    RaiseQuickCall(call, aCapacity, aNow);
  }
  const bool isLate =
    aNow + ExpectedWait(call, false, aCapacity, aNow) > LatestTimelyStart(call);
  if (isLate && aNow + ExpectedWait(call, true, aCapacity, aNow) >
                  LatestUsefulStart(call)) {
    return { { call.m_ticket, RefusalReason::DeadlineTooShort } };
  }
  if (HoldsMostOfQueue(call)) {
    return OfferWithinAccount(call, isLate);
  }
  if (Size() >= m_bounds.m_limit) {
    return OfferToFull(call, isLate);
  }
  Append(call, isLate);
  std::vector<Refused> refused;
  RefuseHopeless(aCapacity, aNow, refused);
  return refused;
}

void
ObjectiveAdmission::RaiseQuickCall(WaitingCall& aCall,
                                   const UpstreamCapacity& aCapacity,
                                   MonotonicTime aNow) const
{
  const double bound = kQuickShare * aCapacity.m_slots.Value();
  if (aCall.m_priority > kMostUrgent + 1 &&
      m_quickUse.PerSecond(aNow) < bound) {
    --aCall.m_priority;
  }
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

bool
ObjectiveAdmission::HoldsMostOfQueue(const WaitingCall& aCall) const
{
  if (!IsOfAnAccount(aCall) || m_shares.ActiveAccounts() < 2) {
    return false;
  }
  const auto isSameAccount = [&](const WaitingCall& aOther) {
    return aOther.m_caller == aCall.m_caller;
  };
  const auto count =
    std::count_if(m_timely.begin(), m_timely.end(), isSameAccount) +
    std::count_if(m_late.begin(), m_late.end(), isSameAccount);
  return static_cast<std::size_t>(count) >=
         std::max<std::size_t>(1, m_bounds.m_limit / 2);
}

std::vector<Refused>
ObjectiveAdmission::OfferWithinAccount(const WaitingCall& aCall, bool aIsLate)
{
  const auto isSameAccount = [&](const WaitingCall& aOther) {
    return aOther.m_caller == aCall.m_caller;
  };
  std::vector<WaitingCall>* calls = &m_late;
  auto last = std::find_if(m_late.rbegin(), m_late.rend(), isSameAccount);
  if (last == m_late.rend()) {
    calls = &m_timely;
    last = std::find_if(m_timely.rbegin(), m_timely.rend(), isSameAccount);
  }
  const bool isLastLate = calls == &m_late;
  const bool isBetter = isLastLate ? !aIsLate || LatePrecedes(aCall, *last)
                                   : !aIsLate && TimelyPrecedes(aCall, *last);
  if (!isBetter) {
    return { { aCall.m_ticket, RefusalReason::FairShare } };
  }
  const Ticket victim = last->m_ticket;
  calls->erase(std::next(last).base());
  Append(aCall, aIsLate);
  return { { victim, RefusalReason::FairShare } };
}

void
ObjectiveAdmission::DemoteLateCalls(MonotonicTime aNow)
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
ObjectiveAdmission::Next(const UpstreamCapacity& aCapacity, MonotonicTime aNow)
{
  m_capacity = aCapacity;
  const bool isLate = m_timely.empty();
  std::vector<WaitingCall>& calls = isLate ? m_late : m_timely;
  if (calls.empty() || aCapacity.m_running >= aCapacity.m_slots.Value()) {
    return std::nullopt;
  }
  const Ticket ticket = calls.front().m_ticket;
  if (IsOfAnAccount(calls.front())) {
    m_shares.OnStarted(
      calls.front().m_caller, calls.front().m_serviceTime, aNow);
  }
  if (calls.front().m_isQuick) {
    m_quickUse.Add(Seconds(calls.front().m_serviceTime), aNow);
  }
  RecordStart(
    { isLate, calls.front().m_priority }, calls.front().m_serviceTime, aNow);
  calls.erase(calls.begin());
  if (isLate) {
    m_backlog.OnStart();
  }
  return ticket;
}

std::vector<Refused>
ObjectiveAdmission::TakeExpired(MonotonicTime aNow)
{
  m_backlog.Advance(!m_late.empty(), aNow);
  DemoteLateCalls(aNow);
  std::vector<Refused> refused;
  std::erase_if(m_late, [&](const WaitingCall& aCall) {
    const bool isUnreachable = LatestUsefulStart(aCall) < aNow;
    if (isUnreachable) {
      refused.push_back({ aCall.m_ticket, RefusalReason::DeadlineTooShort });
    }
    return isUnreachable;
  });
  Shorten(aNow, refused);
  return refused;
}

void
ObjectiveAdmission::Shorten(MonotonicTime aNow, std::vector<Refused>& aRefused)
{
  std::size_t kept = 0;
  std::erase_if(m_late, [&](const WaitingCall& aCall) {
    const double starts =
      m_backlog.StartsWithin(LatestUsefulStart(aCall) - aNow, m_capacity);
    const bool isExcess = static_cast<double>(kept) >= starts;
    if (isExcess) {
      aRefused.push_back({ aCall.m_ticket, RefusalReason::DeadlineTooShort });
    } else {
      ++kept;
    }
    return isExcess;
  });
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

Duration
ObjectiveAdmission::ExpectedStart(const WaitingCall& aCall,
                                  const UpstreamCapacity& aCapacity,
                                  MonotonicTime aNow) const
{
  const Duration timely = ExpectedWait(aCall, false, aCapacity, aNow);
  return aNow + timely <= LatestTimelyStart(aCall)
           ? timely
           : ExpectedWait(aCall, true, aCapacity, aNow);
}

bool
ObjectiveAdmission::Remove(Ticket aTicket)
{
  const auto hasTicket = [&](const WaitingCall& aCall) {
    return aCall.m_ticket == aTicket;
  };
  return std::erase_if(m_timely, hasTicket) + std::erase_if(m_late, hasTicket) >
         0;
}

} // namespace tarragontray
