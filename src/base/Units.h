/// \file
/// Units: time, shares of traffic, slots and bytes.
///
///     Share half = Share::FromFraction(0.5);
///     Duration timeout = std::chrono::milliseconds(200);
///
/// Thread safety: values; concurrent reads are safe.
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

#include "base/StrongType.h"

namespace tarragontray {

using Duration = std::chrono::nanoseconds;
/// Time on the monotonic clock, for durations and timeouts.
using MonotonicTime =
  std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// The clock that Linux calls CLOCK_BOOTTIME: as the monotonic clock, but it
/// also counts the time in which the VM was suspended.
struct BootClock
{
  using duration = Duration; // NOLINT(readability-identifier-naming)
};
using BootTime = std::chrono::time_point<BootClock, Duration>;
/// Wall-clock time, for deadlines that operators set.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

using ByteCount = Amount<struct ByteCountTag>;
/// Calls that an upstream can run concurrently.
using SlotCount = Amount<struct SlotCountTag, std::uint32_t>;
/// A number of calls.
using CallCount = Amount<struct CallCountTag>;
/// Calls per second.
using CallRate = Amount<struct CallRateTag, double>;

/// A share of traffic from 0 to 1, in steps of 1/10,000.
class Share
{
public:
  static constexpr std::uint32_t kDenominator = 10'000;

  constexpr Share() = default;
  /// \param aFraction from 0 to 1; values outside are clamped.
  static constexpr Share FromFraction(double aFraction)
  {
    const double clamped = std::clamp(aFraction, 0.0, 1.0);
    // Rounds to the nearest part; std::round is not constexpr in C++20.
    const auto doubled = static_cast<std::uint32_t>(clamped * 2 * kDenominator);
    return Share((doubled + 1) / 2);
  }
  static constexpr Share None() { return Share(0); }
  static constexpr Share All() { return Share(kDenominator); }
  /// \param aParts ten-thousandths; values above 10,000 are clamped.
  static constexpr Share FromParts(std::uint32_t aParts)
  {
    return Share(std::min(aParts, kDenominator));
  }

  constexpr std::uint32_t Parts() const { return m_parts; }
  constexpr double Fraction() const
  {
    return static_cast<double>(m_parts) / kDenominator;
  }
  constexpr auto operator<=>(const Share&) const = default;

private:
  constexpr explicit Share(std::uint32_t aParts)
    : m_parts(aParts)
  {
  }

  std::uint32_t m_parts = 0;
};

} // namespace tarragontray
