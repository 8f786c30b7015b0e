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
/// Time on the monotonic clock: for every duration and timeout.
using MonotonicTime =
  std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall time: for deadlines that people set.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

using ByteCount = Amount<struct ByteCountTag>;
/// Concurrent calls that an upstream runs.
using SlotCount = Amount<struct SlotCountTag, std::uint32_t>;
/// Calls, over any window.
using CallCount = Amount<struct CallCountTag>;

/// A share of traffic in steps of 1/10,000, from nothing to all.
class Share
{
public:
  static constexpr std::uint32_t kDenominator = 10'000;

  constexpr Share() = default;
  /// \param aFraction 0 to 1; outside values are clamped.
  static constexpr Share FromFraction(double aFraction)
  {
    const double clamped = std::clamp(aFraction, 0.0, 1.0);
    // Twice the parts, then halved with rounding, so that it is constexpr.
    const auto doubled = static_cast<std::uint32_t>(clamped * 2 * kDenominator);
    return Share((doubled + 1) / 2);
  }
  static constexpr Share None() { return Share(0); }
  static constexpr Share All() { return Share(kDenominator); }
  /// \param aParts ten-thousandths; values above the whole are clamped.
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
