#include "request/RetryBudget.h"

#include <algorithm>

namespace tarragontray {

RetryBudget::Bucket*
RetryBudget::Refill(const ServiceId& aService, MonotonicTime aNow)
{
  auto found = m_buckets.find(aService);
  if (found == m_buckets.end()) {
    if (m_buckets.size() >= m_settings.m_maxServices) {
      return nullptr;
    }
    const Bucket full{ Burst(), aNow };
    found = m_buckets.emplace(aService, full).first;
  }
  Bucket& bucket = found->second;
  const std::chrono::duration<double> elapsed = aNow - bucket.m_refilled;
  const double added =
    elapsed.count() * m_settings.m_tokensPerSecond * m_nodeShare;
  bucket.m_tokens = std::min(Burst(), bucket.m_tokens + added);
  bucket.m_refilled = aNow;
  return &bucket;
}

void
RetryBudget::OnFirstAttempt(const ServiceId& aService, MonotonicTime aNow)
{
  Bucket* bucket = Refill(aService, aNow);
  if (bucket != nullptr) {
    bucket->m_tokens = std::min(Burst(), bucket->m_tokens + m_settings.m_ratio);
  }
}

bool
RetryBudget::TryRetry(const ServiceId& aService,
                      std::uint8_t /*aAttempts*/,
                      MonotonicTime aNow)
{
  Bucket* bucket = Refill(aService, aNow);
  if (bucket == nullptr || bucket->m_tokens < 1) {
    ++m_refused;
    return false;
  }
  bucket->m_tokens -= 1;
  return true;
}

} // namespace tarragontray
