/// \file
/// Whether one more attempt of a call may be sent.
///
///     policy.OnFirstAttempt(service, now);
///     ...
///     if (policy.TryRetry(service, attemptsSoFar, now)) { ... }
///
/// The route's limit of attempts and the deadline hold beside the policy.
#pragma once

#include <cstdint>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// Permits retries. Thread safety: one thread for each instance.
class RetryPolicy
{
public:
  virtual ~RetryPolicy() = default;
  /// A call's first attempt is sent.
  virtual void OnFirstAttempt(const ServiceId& aService,
                              MonotonicTime aNow) = 0;
  /// True when the retry may be sent; it then counts as sent.
  /// \param aAttempts attempts of this call so far, at least 1.
  virtual bool TryRetry(const ServiceId& aService,
                        std::uint8_t aAttempts,
                        MonotonicTime aNow) = 0;
};

/// The plain baseline: each call may be tried three times.
class ThreeTries final : public RetryPolicy
{
public:
  static constexpr std::uint8_t kTries = 3;

  void OnFirstAttempt(const ServiceId& /*aService*/,
                      MonotonicTime /*aNow*/) override
  {
  }
  bool TryRetry(const ServiceId& /*aService*/,
                std::uint8_t aAttempts,
                MonotonicTime /*aNow*/) override
  {
    return aAttempts < kTries;
  }
};

} // namespace tarragontray
