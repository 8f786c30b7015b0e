#include "request/ServiceSplitter.h"

#include <map>

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

ServiceId
Service(const char* aName)
{
  return { ClientAccountId("a"), ServiceName(aName) };
}

RouteSpec
WeightedRoute(std::vector<WeightedService> aParts)
{
  RouteSpec route;
  route.m_name = RouteName("r");
  route.m_service = aParts.empty() ? Service("only") : aParts[0].m_service;
  route.m_parts = std::move(aParts);
  return route;
}

} // namespace

Test(ServiceSplitter, EachServiceGetsItsExactShareOfEverySequence)
{
  const RouteSpec route =
    WeightedRoute({ { Service("x"), 7 }, { Service("y"), 3 } });
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SeededRandom random(seed);
    ServiceSplitter splitter(random);
    for (int run = 0; run < 3; ++run) {
      std::map<ServiceId, int> calls;
      for (int i = 0; i < 10; ++i) {
        ++calls[splitter.Choose(route)];
      }
      cr_assert_eq(calls[Service("x")], 7);
      cr_assert_eq(calls[Service("y")], 3);
    }
  }
}

Test(ServiceSplitter, NewWeightsCountFromTheNextCall)
{
  SeededRandom random(1);
  ServiceSplitter splitter(random);
  splitter.Choose(WeightedRoute({ { Service("x"), 1 }, { Service("y"), 1 } }));
  const RouteSpec all = WeightedRoute({ { Service("x"), 1 } });
  for (int i = 0; i < 5; ++i) {
    cr_assert(splitter.Choose(all) == Service("x"));
  }
  cr_assert(splitter.Choose(WeightedRoute({})) == Service("only"));
}

} // namespace tarragontray
