#include "version/Configuration.h"

#include <algorithm>

namespace tarragontray {

namespace {

bool
Matches(const RouteSpec& aRoute,
        std::string_view aHost,
        std::string_view aMethod,
        std::string_view aTarget)
{
  return (aRoute.m_host.empty() || aRoute.m_host == aHost) &&
         (aRoute.m_method.empty() || aRoute.m_method == aMethod) &&
         aTarget.starts_with(aRoute.m_pathPrefix);
}

} // namespace

const RouteSpec*
FindRoute(const Configuration& aConfiguration,
          std::string_view aMethod,
          std::string_view aTarget,
          std::string_view aHost)
{
  const auto& routes = aConfiguration.m_routes;
  const auto found =
    std::find_if(routes.begin(), routes.end(), [&](const RouteSpec& aRoute) {
      return Matches(aRoute, aHost, aMethod, aTarget);
    });
  return found == routes.end() ? nullptr : &*found;
}

const CallerAccount*
FindCaller(const Configuration& aConfiguration, const ApiKeyDigest& aKey)
{
  const auto& keys = aConfiguration.m_callerKeys;
  const auto found =
    std::lower_bound(keys.begin(),
                     keys.end(),
                     aKey,
                     [](const CallerKey& aEntry, const ApiKeyDigest& aDigest) {
                       return aEntry.m_digest < aDigest;
                     });
  return found == keys.end() || found->m_digest != aKey
           ? nullptr
           : &aConfiguration.m_callers[found->m_caller];
}

} // namespace tarragontray
