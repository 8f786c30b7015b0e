/// \file
/// Clock interface. Code takes a Clock as a parameter, so that tests can
/// control time.
///
///     ManualClock clock;
///     clock.Advance(std::chrono::seconds(3));
#pragma once

#include "base/Units.h"

namespace tarragontray {

/// A source of monotonic and wall time.
class Clock
{
public:
  virtual ~Clock() = default;
  /// For durations and timeouts. Thread safety: any thread.
  virtual MonotonicTime Now() const = 0;
  /// For deadlines that operators set. May jump forwards or backwards.
  /// Thread safety: any thread.
  virtual WallTime WallNow() const = 0;
};

/// The operating system's clocks. Thread safety: any thread.
class SystemClock final : public Clock
{
public:
  MonotonicTime Now() const override
  {
    return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
  }
  WallTime WallNow() const override
  {
    return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
  }
};

/// A clock for tests that moves only by Advance. Thread safety: one thread.
class ManualClock final : public Clock
{
public:
  MonotonicTime Now() const override { return m_now; }
  WallTime WallNow() const override { return m_wall; }

  /// Precondition: aStep is not negative.
  void Advance(Duration aStep)
  {
    m_now += aStep;
    m_wall += aStep;
  }

private:
  MonotonicTime m_now{ std::chrono::hours(1) };
  WallTime m_wall{ std::chrono::hours(24 * 365 * 50) };
};

} // namespace tarragontray
