/// \file
/// Interface that decides whether a call may be retried.
///
///     policy.OnFirstAttempt(service, now);
///     ...
///     if (policy.TryRetry(service, attemptsSoFar, now)) { ... }
///
/// The route's maximum of attempts and the call's deadline apply in addition.
#pragma once

#include <cstdint>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

/// Thread safety: one thread for each instance.
class RetryPolicy
{
public:
  virtual ~RetryPolicy() = default;
  /// The first attempt of a call is about to be sent.
  virtual void OnFirstAttempt(const ServiceId& aService,
                              MonotonicTime aNow) = 0;
  /// Returns true when the retry may be sent, and counts it as sent.
  /// \param aAttempts number of attempts of this call so far, at least 1.
  virtual bool TryRetry(const ServiceId& aService,
                        std::uint8_t aAttempts,
                        MonotonicTime aNow) = 0;
};

/// Baseline retry policy: each call may be attempted three times.
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
