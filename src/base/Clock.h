/// \file
/// Clock interface. Code takes a Clock as a parameter, so that tests can
/// control time.
///
///     ManualClock clock;
///     clock.Advance(std::chrono::seconds(3));
#pragma once

#include <ctime>

#include "base/Units.h"

namespace tarragontray {

/// A source of monotonic, boot and wall time.
class Clock
{
public:
  virtual ~Clock() = default;
  /// For durations and timeouts. Thread safety: any thread.
  virtual MonotonicTime Now() const = 0;
  /// For the age of what must not be used too long, also by a VM that was
  /// suspended meanwhile. Thread safety: any thread.
  virtual BootTime BootNow() const = 0;
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
  BootTime BootNow() const override
  {
    timespec time{};
    // Can't fail for this clock, which Linux has since 2.6.39.
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTime(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
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
  BootTime BootNow() const override { return m_boot; }
  WallTime WallNow() const override { return m_wall; }

  /// Precondition: aStep is not negative.
  void Advance(Duration aStep)
  {
    m_now += aStep;
    m_boot += aStep;
    m_wall += aStep;
  }
  /// A suspension of the VM, which the monotonic clock does not count.
  /// Precondition: aStep is not negative.
  void Suspend(Duration aStep)
  {
    m_boot += aStep;
    m_wall += aStep;
  }

private:
  MonotonicTime m_now{ std::chrono::hours(1) };
  BootTime m_boot{ std::chrono::hours(2) };
  WallTime m_wall{ std::chrono::hours(24 * 365 * 50) };
};

} // namespace tarragontray
