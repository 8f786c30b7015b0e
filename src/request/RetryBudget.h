/// \file
/// Limits the retries to each service to a ratio of its first attempts.
///
///     RetryBudget budget(RetryBudgetSettings{});
///     budget.OnFirstAttempt(service, now);
///     bool allowed = budget.TryRetry(service, 1, now);
///
/// A token bucket that first attempts refill. In an outage, retries add at most
/// this ratio to the load, however many calls fail (see the chapter on
/// cascading failures in Beyer et al., Site Reliability Engineering, 2016). A
/// small refill per second allows retries to services with little traffic.
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
  /// Tokens added by each first attempt.
  double m_ratio = 0.1;
  /// Capacity of the bucket, and its initial number of tokens.
  double m_burst = 10;
  /// Tokens added per second, independent of traffic.
  double m_tokensPerSecond = 0.5;
  /// Maximum number of services tracked; other services get no retries.
  std::size_t m_maxServices = 4096;
  /// m_burst and m_tokensPerSecond are totals that the nodes share equally.
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

  /// Sets the number of nodes that share the budget; 0 counts as 1.
  void SetNodeCount(std::size_t aNodes)
  {
    m_nodeShare =
      m_settings.m_isShared
        ? 1.0 / static_cast<double>(std::max<std::size_t>(aNodes, 1))
        : 1.0;
  }

  /// Number of retries refused.
  std::uint64_t Refused() const { return m_refused; }

private:
  struct Bucket
  {
    double m_tokens = 0;
    MonotonicTime m_refilled{};
  };

  /// At least 1, so that a small share of the budget still allows a retry.
  double Burst() const
  {
    return std::max(1.0, m_settings.m_burst * m_nodeShare);
  }
  /// Refills and returns the bucket of a service; null when too many services
  /// are tracked.
  Bucket* Refill(const ServiceId& aService, MonotonicTime aNow);

  RetryBudgetSettings m_settings;
  std::unordered_map<ServiceId, Bucket> m_buckets;
  /// This node's share of the burst and of the refill per second.
  double m_nodeShare = 1.0;
  std::uint64_t m_refused = 0;
};

} // namespace tarragontray
