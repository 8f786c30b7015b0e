/// \file
/// Distributes the calls of a route over its weighted services.
///
///     const ServiceId& service = splitter.Choose(route);
///
/// Smooth weighted round robin: with each call every service gains its weight
/// as credit; the service with the most credit gets the call and pays the sum
/// of weights. Any sequence of calls as long as the sum of weights gives each
/// service exactly its share. The initial phase is random, so that many threads
/// with little traffic don't all start with the same service.
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
  /// \param aRandom source of the initial phases; must outlive this object.
  explicit ServiceSplitter(Random& aRandom)
    : m_random(aRandom)
  {
  }

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

  Random& m_random;
  std::unordered_map<RouteName, Credits> m_credits;
};

} // namespace tarragontray
