/// \file
<<<<<<< HEAD
/// Distributes the calls of a route over its weighted services.
///
///     const ServiceId& service = splitter.Choose(route);
///
/// Smooth weighted round robin: with each call every service gains its weight
/// as credit; the service with the most credit gets the call and pays the sum
/// of weights. Any sequence of calls as long as the sum of weights gives each
/// service exactly its share. The initial phase is random, so that many threads
/// with little traffic don't all start with the same service.
=======
/// Splits the calls of a route between its weighted services.
///
///     const ServiceId& service = splitter.Choose(route);
///
/// Smooth weighted round robin: each part gains its weight with each call and
/// the part that is furthest ahead pays the sum, so that every run of calls as
/// long as the sum of weights holds each part's share exactly. The phase
/// starts at random, so that many threads with little traffic don't all begin
/// with the same part.
>>>>>>> follow/gossip
///
/// Each traffic thread owns one instance. Thread safety: one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/Random.h"
#include "version/Configuration.h"

namespace tarragontray {

class ServiceSplitter
{
public:
<<<<<<< HEAD
  /// \param aRandom source of the initial phases; must outlive this object.
=======
  /// \param aRandom draws the phases; must outlive this object.
>>>>>>> follow/gossip
  explicit ServiceSplitter(Random& aRandom)
    : m_random(aRandom)
  {
  }

<<<<<<< HEAD
  /// Returns the service for the next call of the route, as a reference into
  /// aRoute.
  const ServiceId& Choose(const RouteSpec& aRoute);

private:
  /// The credit of each service of a route. The credits add up to zero.
  struct Credits
  {
    std::vector<WeightedService> m_parts;
    std::vector<std::int64_t> m_credit;
  };

  /// Maximum number of routes tracked; when exceeded, all credits are reset.
  static constexpr std::size_t kMaxRoutes = 4096;

  Credits& CreditsOf(const RouteSpec& aRoute);
  static std::size_t PickNext(Credits& aCredits);
=======
  /// The service of the route's next call. The reference is into aRoute.
  const ServiceId& Choose(const RouteSpec& aRoute);

private:
  /// How far each part is ahead of its share; they sum up to zero.
  struct Credits
  {
    std::vector<WeightedService> m_parts;
    std::vector<std::int64_t> m_ahead;
  };

  /// Routes with parts that are tracked; beyond it all start anew.
  static constexpr std::size_t kMaxRoutes = 4096;

  Credits& CreditsOf(const RouteSpec& aRoute);
  static std::size_t Take(Credits& aCredits);
>>>>>>> follow/gossip

  Random& m_random;
  std::unordered_map<RouteName, Credits> m_credits;
};

} // namespace tarragontray
