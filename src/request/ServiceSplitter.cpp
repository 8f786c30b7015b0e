#include "request/ServiceSplitter.h"

#include <algorithm>
#include <iterator>

namespace tarragontray {

const ServiceId&
ServiceSplitter::Choose(const RouteSpec& aRoute)
{
  if (aRoute.m_parts.empty()) {
    return aRoute.m_service;
  }
  return aRoute.m_parts[Take(CreditsOf(aRoute))].m_service;
}

std::size_t
ServiceSplitter::Take(Credits& aCredits)
{
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < aCredits.m_parts.size(); ++i) {
    aCredits.m_ahead[i] += aCredits.m_parts[i].m_weight;
    sum += aCredits.m_parts[i].m_weight;
  }
  const auto best =
    std::max_element(aCredits.m_ahead.begin(), aCredits.m_ahead.end());
  *best -= sum;
  return static_cast<std::size_t>(
    std::distance(aCredits.m_ahead.begin(), best));
}

ServiceSplitter::Credits&
ServiceSplitter::CreditsOf(const RouteSpec& aRoute)
{
  const auto found = m_credits.find(aRoute.m_name);
  if (found != m_credits.end() && found->second.m_parts == aRoute.m_parts) {
    return found->second;
  }
  if (m_credits.size() >= kMaxRoutes) {
    m_credits.clear();
  }
  Credits& credits = m_credits[aRoute.m_name];
  credits.m_parts = aRoute.m_parts;
  credits.m_ahead.assign(aRoute.m_parts.size(), 0);
  std::uint64_t sum = 0;
  for (const WeightedService& part : aRoute.m_parts) {
    sum += part.m_weight;
  }
  for (std::uint64_t i = m_random.Below(std::max<std::uint64_t>(sum, 1)); i > 0;
       --i) {
    Take(credits);
  }
  return credits;
}

} // namespace tarragontray
