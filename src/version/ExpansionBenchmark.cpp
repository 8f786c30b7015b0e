// Decoding and expansion as the configuration grows to 4 and 16 times its
// size. Neither is on the path of a request.
#include <string>

#include <benchmark/benchmark.h>

#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"

namespace tarragontray {

namespace {

/// The sample with so many more routes.
Template
TemplateWithRoutes(std::int64_t aCount)
{
  Template shared = SampleTemplate();
  for (std::int64_t i = 0; i < aCount; ++i) {
    TemplateRoute route = shared.m_routes[1];
    route.m_name = RouteName("route-" + std::to_string(i));
    route.m_pathPrefix = "/purchases/" + std::to_string(i);
    shared.m_routes.push_back(std::move(route));
  }
  return shared;
}

void
ExpandRoutes(benchmark::State& aState)
{
  const Template shared = TemplateWithRoutes(aState.range(0));
  const AccountParameters parameters = SampleParameters();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ExpandTemplate(shared, parameters, Revision{ 1 }));
  }
}
BENCHMARK(ExpandRoutes)->Arg(15)->Arg(60)->Arg(240);

void
DecodeRoutes(benchmark::State& aState)
{
  const std::string text = EncodeTemplate(TemplateWithRoutes(aState.range(0)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeTemplate(text));
  }
}
BENCHMARK(DecodeRoutes)->Arg(15)->Arg(60)->Arg(240);

void
DecodeParametersOfAccount(benchmark::State& aState)
{
  const std::string text = EncodeParameters(SampleParameters());
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeParameters(text));
  }
}
BENCHMARK(DecodeParametersOfAccount);

} // namespace

} // namespace tarragontray

BENCHMARK_MAIN();
