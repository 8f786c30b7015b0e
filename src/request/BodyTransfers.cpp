#include "request/BodyTransfers.h"

#include <algorithm>
#include <tuple>

namespace tarragontray {

namespace {

/// Fraction of the mean service time that must remain before the deadline when
/// a call starts, as in ObjectiveAdmission.
constexpr double kMinServiceFraction = 0.5;
/// Weight of a new interval in the mean.
constexpr double kIntervalWeight = 0.1;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

bool
BodyTransfers::Precedes(const Body& aLeft, const Body& aRight)
{
  const auto key = [](const Body& aBody) {
    const WaitingCall& call = aBody.m_waiting.m_call;
    return std::tuple(!aBody.HasStarted(),
                      aBody.m_isLate,
                      call.m_priority,
                      aBody.m_isLate ? call.m_deadline : call.m_objective,
                      call.m_ticket.Value());
  };
  return key(aLeft) < key(aRight);
}

MonotonicTime
BodyTransfers::LatestStart(const WaitingCall& aCall)
{
  return aCall.m_deadline -
         FromSeconds(kMinServiceFraction * Seconds(aCall.m_serviceTime));
}

bool
BodyTransfers::IsLate(const WaitingCall& aCall, MonotonicTime aStart)
{
  return aCall.m_objective != MonotonicTime::max() &&
         aStart > aCall.m_objective - aCall.m_serviceTime;
}

ByteCount
BodyTransfers::BytesOfStarted() const
{
  ByteCount bytes;
  for (const Body& body : m_bodies) {
    bytes +=
      body.HasStarted() ? body.m_waiting.m_size - body.m_arrived : ByteCount(0);
  }
  return bytes;
}

void
BodyTransfers::DemoteLateCalls(MonotonicTime aNow)
{
  const ByteCount started = BytesOfStarted();
  bool hasChanged = false;
  for (Body& body : m_bodies) {
    if (!body.HasStarted() && !body.m_isLate) {
      body.m_isLate =
        IsLate(body.m_waiting.m_call,
               aNow + TransferTime(started + body.m_waiting.m_size));
      hasChanged |= body.m_isLate;
    }
  }
  if (hasChanged) {
    std::stable_sort(m_bodies.begin(), m_bodies.end(), Precedes);
  }
}

Duration
BodyTransfers::TransferTime(ByteCount aBytes) const
{
  return FromSeconds(static_cast<double>(aBytes.Value()) /
                     m_settings.m_bytesPerSecond);
}

Duration
BodyTransfers::ExpectedWait() const
{
  ByteCount bytes;
  for (const Body& body : m_bodies) {
    bytes += body.m_waiting.m_size - body.m_arrived;
  }
  return std::max(
    TransferTime(bytes),
    FromSeconds(m_interval * static_cast<double>(m_bodies.size())));
}

std::vector<Refused>
BodyTransfers::Offer(const WaitingBody& aBody, MonotonicTime aNow)
{
  DemoteLateCalls(aNow);
  Body body;
  body.m_waiting = aBody;
  body.m_isLate =
    IsLate(aBody.m_call, aNow + TransferTime(BytesOfStarted() + aBody.m_size));
  const auto position =
    std::upper_bound(m_bodies.begin(), m_bodies.end(), body, Precedes);
  ByteCount ahead;
  for (auto other = m_bodies.begin(); other != position; ++other) {
    ahead += other->m_waiting.m_size - other->m_arrived;
  }
  const auto count = static_cast<double>(position - m_bodies.begin());
  const Duration wait = std::max(TransferTime(ahead + aBody.m_size),
                                 FromSeconds(m_interval * count));
  if (aNow + wait > LatestStart(aBody.m_call)) {
    return { { aBody.m_call.m_ticket, RefusalReason::DeadlineTooShort } };
  }
  m_bodies.insert(position, body);
  if (m_bodies.size() <= m_settings.m_limit) {
    return {};
  }
  const Ticket last = m_bodies.back().m_waiting.m_call.m_ticket;
  m_bodies.pop_back();
  return { { last, RefusalReason::QueueFull } };
}

std::optional<BodyPiece>
BodyTransfers::Next(bool aStartsNew, MonotonicTime aNow)
{
  DemoteLateCalls(aNow);
  ByteCount outstanding;
  for (Body& body : m_bodies) {
    body.m_isStalled = aNow - body.m_lastProgress >= m_settings.m_stallTime;
    if (!body.m_isStalled) {
      outstanding += body.Outstanding();
    }
  }
  for (auto body = m_bodies.begin(); body != m_bodies.end(); ++body) {
    const ByteCount left = body->m_waiting.m_size - body->m_requested;
    const ByteCount size = std::min(left, m_settings.m_piece);
    if (size == ByteCount(0)) {
      continue;
    }
    const bool hasStarted = body->HasStarted();
    if ((!hasStarted && !aStartsNew) ||
        outstanding + size > m_settings.m_window) {
      return std::nullopt;
    }
    const BodyPiece piece{ body->m_waiting.m_call.m_ticket,
                           body->m_requested,
                           size };
    body->m_requested += size;
    body->m_lastProgress = aNow;
    if (!hasStarted) {
      const auto begin =
        std::find_if(m_bodies.begin(), body, [](const Body& aOther) {
          return !aOther.HasStarted();
        });
      std::rotate(begin, body, std::next(body));
    }
    return piece;
  }
  return std::nullopt;
}

bool
BodyTransfers::Arrived(Ticket aTicket, ByteCount aSize, MonotonicTime aNow)
{
  const auto found =
    std::find_if(m_bodies.begin(), m_bodies.end(), [&](const Body& aBody) {
      return aBody.m_waiting.m_call.m_ticket == aTicket;
    });
  if (found == m_bodies.end()) {
    return false;
  }
  found->m_arrived += aSize;
  found->m_lastProgress = aNow;
  found->m_isStalled = false;
  if (found->m_arrived < found->m_waiting.m_size) {
    return false;
  }
  m_bodies.erase(found);
  RecordCompletion(aNow);
  return true;
}

void
BodyTransfers::RecordCompletion(MonotonicTime aNow)
{
  if (m_lastCompletion) {
    const double interval = Seconds(aNow - *m_lastCompletion);
    m_interval = m_interval > 0
                   ? m_interval + kIntervalWeight * (interval - m_interval)
                   : interval;
  }
  m_lastCompletion =
    m_bodies.empty() ? std::nullopt : std::optional<MonotonicTime>(aNow);
}

bool
BodyTransfers::Remove(Ticket aTicket)
{
  return std::erase_if(m_bodies, [&](const Body& aBody) {
           return aBody.m_waiting.m_call.m_ticket == aTicket;
         }) > 0;
}

std::vector<Refused>
BodyTransfers::TakeExpired(MonotonicTime aNow)
{
  std::vector<Refused> refused;
  std::erase_if(m_bodies, [&](const Body& aBody) {
    const WaitingCall& call = aBody.m_waiting.m_call;
    const bool isExpired = aNow >= LatestStart(call);
    if (isExpired) {
      refused.push_back({ call.m_ticket, RefusalReason::DeadlineTooShort });
    }
    return isExpired;
  });
  return refused;
}

std::optional<MonotonicTime>
BodyTransfers::NextTick() const
{
  std::optional<MonotonicTime> next;
  for (const Body& body : m_bodies) {
    MonotonicTime due = LatestStart(body.m_waiting.m_call);
    if (body.Outstanding() > ByteCount(0) && !body.m_isStalled) {
      due = std::min(due, body.m_lastProgress + m_settings.m_stallTime);
    }
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

} // namespace tarragontray
