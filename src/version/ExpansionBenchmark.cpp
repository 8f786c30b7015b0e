// Benchmarks expansion and route lookup with 1, 4 and 16 times the routes of
// the sample template.
#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"

namespace tarragontray {

namespace {

constexpr std::int64_t kScaleFactor = 4;
constexpr std::int64_t kMaxScale = 16;
constexpr Revision kVersion(7);

Template
ScaledTemplate(std::int64_t aScale)
{
  Template shared = SampleTemplate();
  const std::vector<TemplateRoute> routes = shared.m_routes;
  for (std::int64_t copy = 1; copy < aScale; ++copy) {
    const std::string suffix = "-" + std::to_string(copy);
    for (TemplateRoute route : routes) {
      route.m_name = RouteName(route.m_name.Value() + suffix);
      route.m_pathPrefix = "/copies" + suffix + "/" + route.m_name.Value();
      shared.m_routes.push_back(std::move(route));
    }
  }
  return shared;
}

void
Expansion(benchmark::State& aState)
{
  const Template shared = ScaledTemplate(aState.range(0));
  const AccountParameters parameters = SampleParameters();
  for ([[maybe_unused]] auto step : aState) {
    auto configuration = ExpandTemplate(shared, parameters, kVersion);
    if (!configuration) {
      aState.SkipWithError(configuration.error().Message().c_str());
      break;
    }
    benchmark::DoNotOptimize(configuration);
  }
}

void
RouteMatch(benchmark::State& aState)
{
  const auto configuration = ExpandTemplate(
    ScaledTemplate(aState.range(0)), SampleParameters(), kVersion);
  for ([[maybe_unused]] auto step : aState) {
    benchmark::DoNotOptimize(
      FindRoute(configuration.value(), "GET", "/seat-map/17"));
  }
}

BENCHMARK(Expansion)->RangeMultiplier(kScaleFactor)->Range(1, kMaxScale);
BENCHMARK(RouteMatch)->RangeMultiplier(kScaleFactor)->Range(1, kMaxScale);

} // namespace

} // namespace tarragontray

BENCHMARK_MAIN();
