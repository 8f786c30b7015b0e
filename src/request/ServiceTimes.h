/// \file
/// Mean service times of the calls to an upstream, overall and by route.
///
///     times.Record(route, serviceTime);
///     Duration mean = times.MeanOf(route);
///     bool isQuick = times.IsQuick(route);
///
/// Means are exponentially weighted. They are kept by route because service
/// times differ by orders of magnitude: with one mean for all, slow bookings
/// would cause quick lookups to be refused.
///
/// Thread safety: one thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/Ids.h"
#include "base/Units.h"

namespace tarragontray {

class ServiceTimes
{
public:
  /// Maximum number of routes tracked; other routes use the overall mean.
  static constexpr std::size_t kMaxRoutes = 256;

  void Record(const RouteName& aRoute, Duration aTime)
  {
    Smooth(m_mean, aTime);
    auto found = m_routes.find(aRoute);
    if (found == m_routes.end()) {
      if (m_routes.size() >= kMaxRoutes) {
        return;
      }
      found = m_routes.try_emplace(aRoute).first;
    }
    RouteTimes& route = found->second;
    Smooth(route.m_recentMean, aTime);
    ++route.m_calls;
    // The arithmetic mean until there are enough calls for the weighted one.
    const double weight =
      std::max(kLongTermWeight, 1.0 / static_cast<double>(route.m_calls));
    route.m_longTermMean += weight * (Seconds(aTime) - route.m_longTermMean);
    ++route.m_newCalls;
    if (++m_callsSinceReview >= kReviewCalls) {
      UpdateHoldingTime();
    }
  }
  /// Mean service time of a route, or the overall mean when the route isn't
  /// tracked; 0 before the first call.
  Duration MeanOf(const RouteName& aRoute) const
  {
    const auto found = m_routes.find(aRoute);
    return found == m_routes.end() ? m_mean : found->second.m_recentMean;
  }
  /// Mean service time over the calls of all routes; 0 before the first call.
  Duration Mean() const { return m_mean; }
  /// True when the mean service time of the route is less than half of the mean
  /// holding time of a slot in use. False until there are enough calls.
  bool IsQuick(const RouteName& aRoute) const
  {
    const auto found = m_routes.find(aRoute);
    return found != m_routes.end() &&
           found->second.m_longTermMean < kQuickFraction * m_meanHoldingTime;
  }

private:
  /// Service times of one route.
  struct RouteTimes
  {
    Duration m_recentMean{ 0 };
    /// Mean over more calls than m_recentMean, in seconds.
    double m_longTermMean = 0.0;
    std::uint64_t m_calls = 0;
    /// Calls since the last review, and earlier ones, halved at each review.
    std::uint64_t m_newCalls = 0;
    double m_pastCalls = 0.0;
  };

  /// A new time has weight 1 / kSmoothing in the mean.
  static constexpr int kSmoothing = 8;
  /// Weight of a new time in the long-term mean.
  static constexpr double kLongTermWeight = 1.0 / 64;
  /// Calls between two reviews of all routes.
  static constexpr std::uint64_t kReviewCalls = 32;
  /// A route is quick when its mean is below this fraction of the mean holding
  /// time of a slot. Half of the holding time is the mean remaining time of a
  /// slot in use, if calls of one route all take the same time.
  static constexpr double kQuickFraction = 0.5;

  static double Seconds(Duration aTime)
  {
    return std::chrono::duration<double>(aTime).count();
  }

  static void Smooth(Duration& aMean, Duration aTime)
  {
    aMean =
      aMean == Duration::zero() ? aTime : aMean + (aTime - aMean) / kSmoothing;
  }

  /// Updates the mean holding time of a slot in use, E[t^2] / E[t]. Rare long
  /// calls dominate it, not the many short ones. It is computed from the means
  /// of the routes, so that a wide spread within one route doesn't make the
  /// route's calls quick.
  void UpdateHoldingTime()
  {
    m_callsSinceReview = 0;
    double sum = 0.0;
    double squares = 0.0;
    for (auto& [name, route] : m_routes) {
      route.m_pastCalls =
        route.m_pastCalls / 2 + static_cast<double>(route.m_newCalls);
      route.m_newCalls = 0;
      sum += route.m_pastCalls * route.m_longTermMean;
      squares +=
        route.m_pastCalls * route.m_longTermMean * route.m_longTermMean;
    }
    m_meanHoldingTime = sum > 0.0 ? squares / sum : 0.0;
  }

  Duration m_mean{ 0 };
  /// Mean holding time in seconds; 0 until the first review.
  double m_meanHoldingTime = 0.0;
  std::uint64_t m_callsSinceReview = 0;
  std::unordered_map<RouteName, RouteTimes> m_routes;
};

} // namespace tarragontray
