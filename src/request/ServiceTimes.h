/// \file
/// How long calls usually take in an upstream, over all and by route.
///
///     times.Learn(route, serviceTime);
///     Duration usual = times.Of(route);
///     bool isQuick = times.IsQuick(route);
///
/// Exponentially weighted means. Routes differ by orders of magnitude, so that
/// a quick lookup must not be refused because bookings are slow.
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
  /// Routes tracked; further ones count as usual.
  static constexpr std::size_t kMaxRoutes = 256;

  void Learn(const RouteName& aRoute, Duration aTime)
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
    Smooth(route.m_recent, aTime);
    ++route.m_calls;
    // A plain mean until there are enough calls for the weighted one.
    const double weight =
      std::max(kLongTermWeight, 1.0 / static_cast<double>(route.m_calls));
    route.m_longTermMean += weight * (Seconds(aTime) - route.m_longTermMean);
    ++route.m_newCalls;
    if (++m_callsSinceReview >= kReviewCalls) {
      UpdateHoldingTime();
    }
  }
  /// 0 while nothing is known.
  Duration Of(const RouteName& aRoute) const
  {
    const auto found = m_routes.find(aRoute);
    return found == m_routes.end() ? m_mean : found->second.m_recent;
  }
  /// Over all routes, by their calls.
  Duration Usual() const { return m_mean; }
  /// Calls of the route take a small part of what a used slot is held for.
  /// False while nothing is known.
  bool IsQuick(const RouteName& aRoute) const
  {
    const auto found = m_routes.find(aRoute);
    return found != m_routes.end() &&
           found->second.m_longTermMean < kQuickFraction * m_meanHoldingTime;
  }

private:
  /// Times of one route's calls.
  struct RouteTimes
  {
    Duration m_recent{ 0 };
    /// In seconds, over more calls.
    double m_longTermMean = 0.0;
    std::uint64_t m_calls = 0;
    /// Calls since the last review, and those before it, halved at each.
    std::uint64_t m_newCalls = 0;
    double m_pastCalls = 0.0;
  };

  /// Part of a new time in the mean: 1 / kSmoothing.
  static constexpr int kSmoothing = 8;
  /// The same in the steady mean.
  static constexpr double kLongTermWeight = 1.0 / 64;
  /// Calls between two looks at all routes.
  static constexpr std::uint64_t kReviewCalls = 32;
  /// Part of a slot's mean holding time below which a route's calls are quick:
  /// the holder's mean remaining time, if all calls of its route are alike.
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

  /// A slot in use is held for E[t^2] / E[t] on average, which rare long calls
  /// decide and not the many short ones. By the means of the routes, so that a
  /// wide spread within one route makes none of its calls quick.
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
  /// In seconds; 0 until the first review.
  double m_meanHoldingTime = 0.0;
  std::uint64_t m_callsSinceReview = 0;
  std::unordered_map<RouteName, RouteTimes> m_routes;
};

} // namespace tarragontray
