#include "request/ServiceSplitter.h"

#include <algorithm>
#include <iterator>

namespace tarragontray {

const ServiceId&
ServiceSplitter::Choose(const RouteSpec& aRoute)
{
  if (aRoute.m_weightedServices.empty()) {
    return aRoute.m_service;
  }
  return aRoute.m_weightedServices[PickNext(CreditsOf(aRoute))].m_service;
}

std::size_t
ServiceSplitter::PickNext(Credits& aCredits)
{
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < aCredits.m_parts.size(); ++i) {
    aCredits.m_credit[i] += aCredits.m_parts[i].m_weight;
    sum += aCredits.m_parts[i].m_weight;
  }
  const auto best =
    std::max_element(aCredits.m_credit.begin(), aCredits.m_credit.end());
  *best -= sum;
  return static_cast<std::size_t>(
    std::distance(aCredits.m_credit.begin(), best));
}

ServiceSplitter::Credits&
ServiceSplitter::CreditsOf(const RouteSpec& aRoute)
{
  const auto found = m_credits.find(aRoute.m_name);
  if (found != m_credits.end() &&
      found->second.m_parts == aRoute.m_weightedServices) {
    return found->second;
  }
  if (m_credits.size() >= kMaxRoutes) {
    m_credits.clear();
  }
  Credits& credits = m_credits[aRoute.m_name];
  credits.m_parts = aRoute.m_weightedServices;
  credits.m_credit.assign(aRoute.m_weightedServices.size(), 0);
  std::uint64_t sum = 0;
  for (const WeightedService& part : aRoute.m_weightedServices) {
    sum += part.m_weight;
  }
  for (std::uint64_t i = m_random.Below(std::max<std::uint64_t>(sum, 1)); i > 0;
       --i) {
    PickNext(credits);
  }
  return credits;
}

} // namespace tarragontray
