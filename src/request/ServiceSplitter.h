/// \file
/// Splits the calls of a route between its weighted services.
///
///     const ServiceId& service = splitter.Choose(route);
///
/// Smooth weighted round robin: each part gains its weight with each call and
/// the part that is furthest ahead pays the sum, so that every run of calls as
/// long as the sum of weights holds each part's share exactly. The phase
/// starts at random, so that many threads with little traffic don't all begin
/// with the same part.
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
  /// \param aRandom draws the phases; must outlive this object.
  explicit ServiceSplitter(Random& aRandom)
    : m_random(aRandom)
  {
  }

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

  Random& m_random;
  std::unordered_map<RouteName, Credits> m_credits;
};

} // namespace tarragontray
