/// \file
/// A rate limit: so many tokens a second, at most one second's worth saved.
///
///     TokenBucket bucket;
///     bucket.SetRate(300, now);
///     if (!bucket.Take(now)) { /* refuse */ }
///
/// Thread safety: one thread.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/Units.h"

namespace tarragontray {

/// See the file comment.
class TokenBucket
{
public:
  /// \param aPerSecond 0: no limit.
  void SetRate(std::uint32_t aPerSecond, MonotonicTime aNow)
  {
    if (aPerSecond == m_perSecond) {
      return;
    }
    m_perSecond = aPerSecond;
    m_tokens = aPerSecond;
    m_filled = aNow;
  }

  bool Take(MonotonicTime aNow)
  {
    if (m_perSecond == 0) {
      return true;
    }
    const std::chrono::duration<double> passed = aNow - m_filled;
    m_filled = aNow;
    m_tokens =
      std::min<double>(m_tokens + passed.count() * m_perSecond, m_perSecond);
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

private:
  std::uint32_t m_perSecond = 0;
  double m_tokens = 0;
  MonotonicTime m_filled{};
};

} // namespace tarragontray
