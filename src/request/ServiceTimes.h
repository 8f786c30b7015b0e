/// \file
/// How long calls usually take in an upstream, over all and by route.
///
///     times.Learn(route, serviceTime);
///     Duration usual = times.Of(route);
///
/// Exponentially weighted means. Routes differ by orders of magnitude, so that
/// a quick lookup must not be refused because bookings are slow.
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

class ServiceTimes
{
public:
  /// Routes tracked; further ones count as usual.
  static constexpr std::size_t kMaxRoutes = 256;

  void Learn(const RouteName& aRoute, Duration aTime)
  {
    Smooth(m_usual, aTime);
    const auto found = m_routes.find(aRoute);
    if (found != m_routes.end()) {
      Smooth(found->second, aTime);
    } else if (m_routes.size() < kMaxRoutes) {
      m_routes.emplace(aRoute, aTime);
    }
  }
  /// 0 while nothing is known.
  Duration Of(const RouteName& aRoute) const
  {
    const auto found = m_routes.find(aRoute);
    return found == m_routes.end() ? m_usual : found->second;
  }
  /// Over all routes, by their calls.
  Duration Usual() const { return m_usual; }

private:
  /// Part of a new time in the mean: 1 / kSmoothing.
  static constexpr int kSmoothing = 8;

  static void Smooth(Duration& aMean, Duration aTime)
  {
    aMean =
      aMean == Duration::zero() ? aTime : aMean + (aTime - aMean) / kSmoothing;
  }

  Duration m_usual{ 0 };
  std::unordered_map<RouteName, Duration> m_routes;
};

} // namespace tarragontray
