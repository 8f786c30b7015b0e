#include "request/FairAdmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragontray {

namespace {

/// Part of the usual service time that must be left when a call starts. Less
/// than one, because some calls are faster than the usual one.
constexpr double kMinServiceFraction = 0.5;

/// When it is too late to start the call.
MonotonicTime
LatestStart(const WaitingCall& aCall)
{
  return aCall.m_deadline - std::chrono::duration_cast<Duration>(
                              aCall.m_serviceTime * kMinServiceFraction);
}

} // namespace

Result<std::unique_ptr<AdmissionPolicy>>
FairAdmission::Create(AdmissionBounds aBounds)
{
  if (aBounds.m_limit == 0) {
    return Error(ErrorCode::InvalidArgument, "admission.create", "", "limit=0");
  }
  return std::unique_ptr<AdmissionPolicy>(
    new FairAdmission(std::move(aBounds)));
}

FairAdmission::FairAdmission(AdmissionBounds aBounds)
  : m_bounds(std::move(aBounds))
{
}

void
FairAdmission::SetBounds(const AdmissionBounds& aBounds)
{
  // Runs of a former owner's time are not counted against the new one.
  if (aBounds.m_owner != m_bounds.m_owner) {
    m_foreignRunning = 0;
  }
  m_bounds = aBounds;
}

std::vector<Refused>
FairAdmission::Offer(const WaitingCall& aCall,
                     const UpstreamCapacity& aCapacity,
                     MonotonicTime aNow)
{
  const RefusalReason reason = Check(aCall, aCapacity, aNow);
  if (reason != RefusalReason::None) {
    return { { aCall.m_ticket, reason } };
  }
  if (m_size >= m_bounds.m_limit) {
    return OfferToFull(aCall);
  }
  Append(aCall);
  return {};
}

RefusalReason
FairAdmission::Check(const WaitingCall& aCall,
                     const UpstreamCapacity& aCapacity,
                     MonotonicTime aNow) const
{
  if (IsForeign(aCall.m_caller) && ForeignSlots(aCapacity) == 0) {
    return RefusalReason::FairShare;
  }
  const std::uint32_t slots = std::max(1U, aCapacity.m_slots.Value());
  const bool mustWait = aCapacity.m_running >= slots;
  const std::size_t ahead = mustWait ? CountAhead(aCall) + 1 : 0;
  const Duration wait = aCapacity.m_serviceTime * ahead / slots;
  return aNow + wait > LatestStart(aCall) ? RefusalReason::DeadlineTooShort
                                          : RefusalReason::None;
}

std::size_t
FairAdmission::CountAhead(const WaitingCall& aCall) const
{
  std::size_t ahead = 0;
  for (const auto& [priority, level] : m_levels) {
    if (priority > aCall.m_priority) {
      break;
    }
    const auto own = level.m_flows.find(aCall.m_caller);
    const std::size_t turns =
      own == level.m_flows.end() ? 0 : own->second.m_items.size();
    for (const auto& [account, flow] : level.m_flows) {
      const bool isUrgent = priority < aCall.m_priority;
      ahead +=
        isUrgent ? flow.m_items.size() : std::min(flow.m_items.size(), turns);
    }
  }
  return ahead;
}

std::vector<Refused>
FairAdmission::OfferToFull(const WaitingCall& aCall)
{
  Level& level = LeastUrgentLevel();
  Flow& longest = LongestFlow(level);
  const WaitingCall victim = longest.m_items.back().m_call;
  const auto own = level.m_flows.find(aCall.m_caller);
  const std::size_t ownLength =
    own == level.m_flows.end() ? 0 : own->second.m_items.size();
  const bool isMoreUrgent = aCall.m_priority < victim.m_priority;
  const bool isSameLevel = aCall.m_priority == victim.m_priority;
  if (!isMoreUrgent &&
      !(isSameLevel && ownLength + 1 < longest.m_items.size())) {
    const bool isLongest = isSameLevel && ownLength >= longest.m_items.size();
    return { { aCall.m_ticket,
               isLongest ? RefusalReason::FairShare
                         : RefusalReason::QueueFull } };
  }
  longest.m_items.pop_back();
  longest.m_lastFinishTag -= 1;
  --level.m_waiting;
  --m_size;
  Append(aCall);
  return { { victim.m_ticket,
             isMoreUrgent ? RefusalReason::QueueFull
                          : RefusalReason::FairShare } };
}

void
FairAdmission::Append(const WaitingCall& aCall)
{
  Level& level = m_levels[aCall.m_priority];
  Flow& flow = level.m_flows[aCall.m_caller];
  const double start = std::max(level.m_virtualTime, flow.m_lastFinishTag);
  flow.m_items.push_back({ aCall, start });
  flow.m_lastFinishTag = start + 1;
  ++level.m_waiting;
  ++m_size;
}

FairAdmission::Level&
FairAdmission::LeastUrgentLevel()
{
  const auto last =
    std::find_if(m_levels.rbegin(), m_levels.rend(), [](const auto& aEntry) {
      return aEntry.second.m_waiting > 0;
    });
  return last->second;
}

FairAdmission::Flow&
FairAdmission::LongestFlow(Level& aLevel)
{
  const auto longest = std::max_element(
    aLevel.m_flows.begin(),
    aLevel.m_flows.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.m_items.size() < aRight.second.m_items.size();
    });
  return longest->second;
}

std::optional<Ticket>
FairAdmission::Next(const UpstreamCapacity& aCapacity, MonotonicTime /*aNow*/)
{
  if (m_size == 0 || aCapacity.m_running >= aCapacity.m_slots.Value()) {
    return std::nullopt;
  }
  const bool foreignMayRun = m_foreignRunning < ForeignSlots(aCapacity);
  for (auto& [priority, level] : m_levels) {
    const std::optional<Ticket> next = NextOf(level, foreignMayRun);
    if (next) {
      return next;
    }
  }
  return std::nullopt;
}

std::optional<Ticket>
FairAdmission::NextOf(Level& aLevel, bool aForeignMayRun)
{
  Flow* best = nullptr;
  bool isBestForeign = false;
  for (auto& [account, flow] : aLevel.m_flows) {
    const bool isForeign = IsForeign(account);
    if (flow.m_items.empty() || (isForeign && !aForeignMayRun)) {
      continue;
    }
    const double tag = flow.m_items.front().m_startTag;
    if (best == nullptr || tag < best->m_items.front().m_startTag) {
      best = &flow;
      isBestForeign = isForeign;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const Flow::Item item = best->m_items.front();
  best->m_items.pop_front();
  aLevel.m_virtualTime = std::max(aLevel.m_virtualTime, item.m_startTag);
  --aLevel.m_waiting;
  --m_size;
  m_foreignRunning += isBestForeign ? 1 : 0;
  RemoveIdleFlows(aLevel);
  return item.m_call.m_ticket;
}

std::vector<Refused>
FairAdmission::TakeExpired(MonotonicTime aNow)
{
  std::vector<Refused> expired;
  const auto takeLate = [&](const Flow::Item& aItem) {
    const bool isLate = LatestStart(aItem.m_call) < aNow;
    if (isLate) {
      expired.push_back(
        { aItem.m_call.m_ticket, RefusalReason::DeadlineTooShort });
    }
    return isLate;
  };
  for (auto& [priority, level] : m_levels) {
    for (auto& [account, flow] : level.m_flows) {
      const std::size_t count = std::erase_if(flow.m_items, takeLate);
      level.m_waiting -= count;
      m_size -= count;
    }
    RemoveIdleFlows(level);
  }
  return expired;
}

std::optional<MonotonicTime>
FairAdmission::NextExpiry() const
{
  std::optional<MonotonicTime> next;
  for (const auto& [priority, level] : m_levels) {
    for (const auto& [account, flow] : level.m_flows) {
      for (const Flow::Item& item : flow.m_items) {
        next =
          std::min(next.value_or(MonotonicTime::max()), item.m_call.m_deadline);
      }
    }
  }
  return next;
}

bool
FairAdmission::Remove(Ticket aTicket)
{
  for (auto& [priority, level] : m_levels) {
    for (auto& [account, flow] : level.m_flows) {
      const auto removed =
        std::erase_if(flow.m_items, [&](const Flow::Item& aItem) {
          return aItem.m_call.m_ticket == aTicket;
        });
      if (removed > 0) {
        --level.m_waiting;
        --m_size;
        RemoveIdleFlows(level);
        return true;
      }
    }
  }
  return false;
}

void
FairAdmission::Released(const ClientAccountId& aCaller)
{
  if (IsForeign(aCaller) && m_foreignRunning > 0) {
    --m_foreignRunning;
  }
}

bool
FairAdmission::IsForeign(const ClientAccountId& aCaller) const
{
  return aCaller != m_bounds.m_owner;
}

std::uint32_t
FairAdmission::ForeignSlots(const UpstreamCapacity& aCapacity) const
{
  const double share = m_bounds.m_foreignShare.Fraction();
  const double slots = std::floor(share * aCapacity.m_slots.Value());
  return share > 0 ? std::max(1U, static_cast<std::uint32_t>(slots)) : 0;
}

void
FairAdmission::RemoveIdleFlows(Level& aLevel) const
{
  const bool isTooMany = aLevel.m_flows.size() > 2 * m_bounds.m_limit;
  std::erase_if(aLevel.m_flows, [&](const auto& aEntry) {
    const Flow& flow = aEntry.second;
    return flow.m_items.empty() &&
           (isTooMany || flow.m_lastFinishTag <= aLevel.m_virtualTime);
  });
}

} // namespace tarragontray
