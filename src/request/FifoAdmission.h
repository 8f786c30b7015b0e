/// \file
/// The plain baseline of admission: one queue, first in, first out.
///
///     auto policy = std::make_unique<FifoAdmission>(64);
///
/// It knows neither deadlines, nor classes, nor accounts.
///
/// Thread safety: one thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "request/AdmissionPolicy.h"

namespace tarragontray {

class FifoAdmission final : public AdmissionPolicy
{
public:
  /// \param aLimit calls that may wait.
  explicit FifoAdmission(std::size_t aLimit)
    : m_limit(aLimit)
  {
  }

  void SetBounds(const AdmissionBounds& aBounds) override
  {
    m_limit = aBounds.m_limit;
  }
  std::vector<Refused> Offer(const WaitingCall& aCall,
                             const UpstreamCapacity& /*aCapacity*/,
                             MonotonicTime /*aNow*/) override
  {
    if (m_queue.size() >= m_limit) {
      return { { aCall.m_ticket, RefusalReason::QueueFull } };
    }
    m_queue.push_back(aCall.m_ticket);
    return {};
  }
  std::optional<Ticket> Next(const UpstreamCapacity& aCapacity,
                             MonotonicTime /*aNow*/) override
  {
    if (m_queue.empty() || aCapacity.m_running >= aCapacity.m_slots.Value()) {
      return std::nullopt;
    }
    const Ticket next = m_queue.front();
    m_queue.pop_front();
    return next;
  }
  std::vector<Refused> TakeExpired(MonotonicTime /*aNow*/) override
  {
    return {};
  }
  std::optional<MonotonicTime> NextExpiry() const override
  {
    return std::nullopt;
  }
  bool Remove(Ticket aTicket) override
  {
    return std::erase(m_queue, aTicket) > 0;
  }
  void Released(const ClientAccountId& /*aCaller*/) override {}
  std::size_t Size() const override { return m_queue.size(); }

private:
  std::size_t m_limit;
  std::deque<Ticket> m_queue;
};

} // namespace tarragontray
