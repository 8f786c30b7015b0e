/// \file
/// Cost of the steps of the request path over the size of the fleet. The
/// argument is the number of targets of the service; a node's subset of them
/// is bounded, so that no step may grow with it.
#include <string>

#include <benchmark/benchmark.h>

#include "request/CallPlan.h"
#include "request/FairAdmission.h"
#include "request/Guard.h"
#include "request/RetryBudget.h"
#include "request/Subset.h"
#include "request/TwoChoicesBalancing.h"

namespace tarragontray {
namespace {

const DataCentreId kOwn("dc1");
const UpstreamVersion kVersion("v1");
const ServiceId kService{ ClientAccountId("owner"), ServiceName("service") };
constexpr MonotonicTime kNow{ std::chrono::hours(1) };

ServiceView
MakeView(std::size_t aTargets)
{
  std::vector<Target> all;
  for (std::size_t i = 0; i < aTargets; ++i) {
    Target target;
    target.m_vm = VmId("vm-" + std::to_string(i));
    target.m_dataCentre = DataCentreId("dc" + std::to_string(i % 9));
    target.m_version = kVersion;
    target.m_slots = SlotCount(12);
    all.push_back(target);
  }
  ServiceView view;
  view.m_id = kService;
  view.m_split.m_from = kVersion;
  view.m_targets = SelectSubset({ VmId("node"), kOwn, {} }, all);
  view.m_keys = KeyPlacement::Create(std::move(all)).value();
  return view;
}

/// The policies of one traffic thread.
struct Thread
{
  SeededRandom m_random{ 1 };
  TwoChoicesBalancing m_balancing{ TwoChoicesSettings{} };
  VersionSplitter m_splitter{ m_random };
  RetryBudget m_retries{ RetryBudgetSettings{} };
  TrafficPolicies m_policies{ m_balancing, m_splitter, m_retries, m_random };
};

void
ChooseTarget(benchmark::State& aState)
{
  const ServiceView view = MakeView(static_cast<std::size_t>(aState.range(0)));
  std::vector<const Target*> candidates;
  for (const Target& target : view.m_targets) {
    candidates.push_back(&target);
  }
  Thread thread;
  for (auto _ : aState) {
    const std::size_t index =
      thread.m_balancing
        .Choose(candidates, 0, kOwn, ChoiceConstraints{}, kNow, thread.m_random)
        .value();
    thread.m_balancing.Started(candidates[index]->m_vm, kNow);
    thread.m_balancing.Finished(candidates[index]->m_vm, {}, kNow);
  }
}
BENCHMARK(ChooseTarget)->Arg(62)->Arg(250)->Arg(1000);

void
PlanCall(benchmark::State& aState, bool aIsCallerKey)
{
  const ServiceView view = MakeView(static_cast<std::size_t>(aState.range(0)));
  Thread thread;
  RouteSpec route;
  route.m_timeout = std::chrono::seconds(1);
  Answer answer;
  answer.m_outcome = CallOutcome::Done;
  answer.m_http.m_status = 200;
  for (auto _ : aState) {
    CallPlan plan = CallPlan::Start({ route,
                                      view,
                                      OperationId("5e0c9f8e-1f0a-4c3e-9a57"),
                                      aIsCallerKey,
                                      ClientAccountId("caller"),
                                      0,
                                      kNow + route.m_timeout,
                                      kOwn,
                                      thread.m_policies });
    benchmark::DoNotOptimize(plan.Begin(kNow));
    benchmark::DoNotOptimize(plan.OnAnswer(answer, kNow));
  }
}
BENCHMARK_CAPTURE(PlanCall, any_target, false)->Arg(62)->Arg(250)->Arg(1000);
BENCHMARK_CAPTURE(PlanCall, caller_key, true)->Arg(62)->Arg(250)->Arg(1000);

/// Submit and Finished of one call. The argument is the number of entry
/// nodes, each with a link of its own.
void
GuardCall(benchmark::State& aState, bool aIsIdempotent)
{
  const auto links = static_cast<std::uint64_t>(aState.range(0));
  Guard guard =
    Guard::Create(GuardSettings{},
                  FairAdmission::Create({ kService.m_owner }).value())
      .value();
  guard.SetUpstream({ kService, kVersion, UpstreamState::Live, SlotCount(12) },
                    kNow);
  MonotonicTime now = kNow;
  std::uint64_t id = 0;
  for (auto _ : aState) {
    Call call;
    call.m_id = CallId(++id);
    call.m_operation = OperationId("operation-" + std::to_string(id));
    call.m_caller = ClientAccountId("caller");
    call.m_service = kService;
    call.m_version = kVersion;
    call.m_idempotent = aIsIdempotent;
    call.m_timeRemaining = std::chrono::seconds(1);
    now += std::chrono::milliseconds(10);
    const GuardActions actions =
      guard.Submit(std::move(call), CallerLink(id % links), now);
    Answer answer;
    answer.m_outcome = CallOutcome::Done;
    benchmark::DoNotOptimize(
      guard.Finished(actions.m_runs.at(0).m_ticket, std::move(answer), now));
  }
}
BENCHMARK_CAPTURE(GuardCall, idempotent, true)->Arg(62)->Arg(250)->Arg(1000);
BENCHMARK_CAPTURE(GuardCall, once_only, false)->Arg(62)->Arg(250)->Arg(1000);

/// What the control thread pays for a new view of one service.
void
BuildView(benchmark::State& aState)
{
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      MakeView(static_cast<std::size_t>(aState.range(0))));
  }
}
BENCHMARK(BuildView)->Arg(62)->Arg(250)->Arg(1000);

} // namespace
} // namespace tarragontray

BENCHMARK_MAIN();
