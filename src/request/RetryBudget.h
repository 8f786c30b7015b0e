/// \file
/// Retries as a bounded ratio of first attempts, for each service.
///
///     RetryBudget budget(RetryBudgetSettings{});
///     budget.OnFirstAttempt(service, now);
///     bool allowed = budget.TryRetry(service, 1, now);
///
/// A token bucket filled by first attempts: an outage can then raise the load
/// by the ratio at the most, however many calls fail (see the chapter on
/// cascading failures in Beyer et al., Site Reliability Engineering, 2016).
/// A small refill by time serves services with little traffic.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "request/RetryPolicy.h"

namespace tarragontray {

struct RetryBudgetSettings
{
  /// Tokens that one first attempt adds.
  double m_ratio = 0.1;
  /// Tokens held at the most, and at the start.
  double m_burst = 10;
  /// Tokens that a second adds, whatever the traffic.
  double m_tokensPerSecond = 0.5;
  /// Services tracked; further ones get no retries.
  std::size_t m_maxServices = 4096;
  /// m_burst and m_tokensPerSecond are those of all nodes together: each takes
  /// its part.
  bool m_isShared = false;
};

class RetryBudget final : public RetryPolicy
{
public:
  explicit RetryBudget(const RetryBudgetSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  void OnFirstAttempt(const ServiceId& aService, MonotonicTime aNow) override;
  bool TryRetry(const ServiceId& aService,
                std::uint8_t aAttempts,
                MonotonicTime aNow) override;

  /// How many nodes share the budget, at least 1.
  void SetNodeCount(std::size_t aNodes)
  {
    m_nodeShare =
      m_settings.m_isShared
        ? 1.0 / static_cast<double>(std::max<std::size_t>(aNodes, 1))
        : 1.0;
  }

  /// Retries refused so far. Thread safety: as the class.
  std::uint64_t Refused() const { return m_refused; }

private:
  struct Bucket
  {
    double m_tokens = 0;
    MonotonicTime m_refilled{};
  };

  /// At least one retry, whatever this node's part.
  double Burst() const
  {
    return std::max(1.0, m_settings.m_burst * m_nodeShare);
  }
  /// Null when the table is full.
  Bucket* Refill(const ServiceId& aService, MonotonicTime aNow);

  RetryBudgetSettings m_settings;
  std::unordered_map<ServiceId, Bucket> m_buckets;
  /// Of the burst and the refill.
  double m_nodeShare = 1.0;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
