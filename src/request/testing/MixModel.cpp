#include "request/testing/MixModel.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

#include "base/Random.h"
#include "request/CallPlan.h"
#include "request/Guard.h"
#include "request/ObjectiveAdmission.h"
#include "request/Pace.h"
#include "request/RetryBudget.h"
#include "request/Subset.h"
#include "request/TwoChoicesBalancing.h"

namespace tarragontray::testing {

namespace {

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr std::size_t kDataCentres = 4;
constexpr double kInnerShare = 0.7;
constexpr double kNear = 0.0002;
constexpr double kFar = 0.0014;
constexpr double kLinkRate = 10e6;
constexpr double kMaxBody = 360e3;
constexpr Duration kPacePeriod = std::chrono::milliseconds(600);
/// Demand of each data centre varies by this part, in this time.
constexpr double kDemandSwing = 0.15;
constexpr double kDemandPeriod = 13;
/// The front's wait for a refused caller without one from a guard.
constexpr double kRetryAfter = 0.2;
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kServerError = 500;
const ClientAccountId kOwner("owner");
const UpstreamVersion kVersion("v1");

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/// A VM: its upstream, its guard and its entry node.
struct Node
{
  Node(std::uint64_t aSeed, const VmId& aVm)
    : m_random(aSeed)
    , m_balancing(TwoChoicesSettings{ .m_vm = aVm, .m_region = RegionId("r1") })
    , m_splitter(m_random)
  {
  }

  std::size_t m_service = 0;
  DataCentreId m_dataCentre;
  double m_slowness = 1;
  PacePercent m_pace = kUsualPace;
  std::unique_ptr<Guard> m_guard;
  SeededRandom m_random;
  TwoChoicesBalancing m_balancing;
  VersionSplitter m_splitter;
  RetryBudget m_retries{ RetryBudgetSettings{} };
  TrafficPolicies m_policies{ m_balancing, m_splitter, m_retries, m_random };
  std::vector<ServiceView> m_views;
};

/// One attempt of a caller, or an inner call.
struct Exchange
{
  std::size_t m_kind = 0;
  std::size_t m_account = 0;
  std::size_t m_node = 0;
  std::size_t m_service = 0;
  ByteCount m_body;
  MonotonicTime m_deadline{};
  std::optional<CallPlan> m_plan;
  std::uint64_t m_link = 0;
  std::size_t m_target = 0;
  std::function<void(const Answer&)> m_onEnd;
};

class Mix
{
public:
  explicit Mix(const MixSettings& aSettings);
  MixResult Run();

private:
  struct Event
  {
    MonotonicTime m_time;
    std::uint64_t m_number = 0;
    std::function<void()> m_run;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.m_time, aOther.m_number) <
             std::tie(m_time, m_number);
    }
  };
  /// A caller's call with its attempts.
  struct CallerCall
  {
    std::size_t m_kind = 0;
    std::size_t m_account = 0;
    std::size_t m_node = 0;
    ByteCount m_body;
    MonotonicTime m_start{};
    /// Start of the attempt.
    MonotonicTime m_attempt{};
  };
  using OnEnd = std::function<void(const Answer&)>;

  void MakeNodes();
  void MakeRoutes();
  double Use(std::size_t aService, double aMeanSlowness) const;
  double HoldTime(const MixKind& aKind) const;
  void ScheduleArrival(std::size_t aKind, std::size_t aDataCentre);
  void Arrive(std::size_t aKind, std::size_t aDataCentre);
  double Flood() const
  {
    return m_now < kStart + m_settings.m_warmUp ? 1.0 : m_settings.m_flood;
  }
  void Attempt(const CallerCall& aCall);
  void EndOfAttempt(const CallerCall& aCall, const Answer& aAnswer);
  void Count(const CallerCall& aCall, const Answer& aAnswer);
  /// Starts an exchange at an entry node.
  void Begin(const CallerCall& aCall,
             Duration aTimeRemaining,
             MonotonicTime aObjective,
             OnEnd aOnEnd);
  void Perform(std::uint64_t aExchange, const Step& aStep);
  void Send(std::uint64_t aExchange, const SendAttempt& aSend);
  void Apply(std::size_t aNode, const GuardActions& aActions);
  void StartRun(std::size_t aNode, const struct Run& aRun);
  void RunInner(std::size_t aNode,
                const Call& aParent,
                MonotonicTime aDeadline,
                int aLeft,
                const OnEnd& aOnEnd);
  void EndRun(std::size_t aNode, Ticket aTicket, bool aIsSuccess);
  void ScheduleTick(std::size_t aNode);
  void ChangePaces();
  double Delay(std::size_t aFrom, std::size_t aTo, ByteCount aBody) const;
  void At(double aDelay, std::function<void()> aRun);
  double Exponential(double aMean)
  {
    return -aMean * std::log(1 - m_random.Fraction());
  }

  MixSettings m_settings;
  SeededRandom m_random;
  MonotonicTime m_now = kStart;
  std::priority_queue<Event> m_events;
  std::uint64_t m_lastEvent = 0;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<RouteSpec> m_routes;
  std::deque<Exchange> m_exchanges;
  std::vector<std::uint64_t> m_exchangeOfLink;
  double m_rateFactor = 1;
  MixResult m_result;
};

Mix::Mix(const MixSettings& aSettings)
  : m_settings(aSettings)
  , m_random(aSettings.m_seed)
{
  MakeNodes();
  MakeRoutes();
  for (const MixKind& kind : m_settings.m_kinds) {
    m_result.m_kinds.push_back({ kind.m_name });
  }
  if (m_settings.m_accounts.empty()) {
    m_settings.m_accounts = { 1 };
  }
  for (std::size_t i = 0; i < m_settings.m_accounts.size(); ++i) {
    m_result.m_accounts.push_back({ m_settings.m_accounts.size() == 1
                                      ? kOwner.Value()
                                      : "account-" + std::to_string(i) });
  }
  double most = 0;
  for (std::size_t i = 0; i < m_settings.m_services.size(); ++i) {
    double slots = 0;
    for (const auto& node : m_nodes) {
      slots += node->m_service == i ? m_settings.m_slots / node->m_slowness : 0;
    }
    m_result.m_use.push_back(Use(i, 1) / slots);
    most = std::max(most, m_result.m_use.back());
  }
  for (double& use : m_result.m_use) {
    use /= most;
  }
  m_rateFactor = m_settings.m_load / most;
}

void
Mix::MakeNodes()
{
  std::vector<std::vector<Target>> targets(m_settings.m_services.size());
  for (std::size_t s = 0; s < m_settings.m_services.size(); ++s) {
    const MixService& service = m_settings.m_services[s];
    for (std::size_t i = 0; i < service.m_targets; ++i) {
      const VmId vm(service.m_name + "-" + std::to_string(i));
      auto node = std::make_unique<Node>(m_random.Next(), vm);
      node->m_service = s;
      node->m_dataCentre =
        DataCentreId("dc" + std::to_string(i % kDataCentres));
      // The mean of the speeds is the usual one.
      const double high =
        2 * m_settings.m_speedRange / (1 + m_settings.m_speedRange);
      const double low = high / m_settings.m_speedRange;
      node->m_slowness = low + (high - low) * m_random.Fraction();
      node->m_guard = std::make_unique<Guard>(
        Guard::Create(GuardSettings{},
                      ObjectiveAdmission::Create(
                        { kOwner, m_settings.m_queueLimit, Share::All() })
                        .value())
          .value());
      node->m_guard->SetUpstream({ { kOwner, ServiceName(service.m_name) },
                                   kVersion,
                                   UpstreamState::Live,
                                   SlotCount(m_settings.m_slots) },
                                 m_now);
      Target target;
      target.m_vm = vm;
      target.m_dataCentre = node->m_dataCentre;
      target.m_region = RegionId("r1");
      target.m_version = kVersion;
      target.m_slots = SlotCount(m_settings.m_slots);
      // The index of the node, where the address would be.
      target.m_incarnation = Incarnation(m_nodes.size());
      targets[s].push_back(target);
      m_nodes.push_back(std::move(node));
    }
  }
  for (const auto& node : m_nodes) {
    for (std::size_t s = 0; s < targets.size(); ++s) {
      ServiceView view;
      view.m_id = { kOwner, ServiceName(m_settings.m_services[s].m_name) };
      view.m_split.m_from = kVersion;
      view.m_targets =
        SelectSubset({ .m_node = VmId(std::to_string(node->m_random.Next())),
                       .m_dataCentre = node->m_dataCentre,
                       .m_region = RegionId("r1") },
                     targets[s]);
      node->m_views.push_back(std::move(view));
    }
  }
}

void
Mix::MakeRoutes()
{
  for (const MixKind& kind : m_settings.m_kinds) {
    RouteSpec route;
    route.m_name = RouteName(kind.m_name);
    route.m_idempotent = kind.m_idempotent;
    route.m_timeout = kind.m_deadline;
    route.m_objective = kind.m_objective;
    m_routes.push_back(route);
  }
}

double
Mix::HoldTime(const MixKind& aKind) const
{
  double hold = Seconds(aKind.m_work);
  if (aKind.m_inner.m_count > 0) {
    const MixKind& inner = m_settings.m_kinds[aKind.m_inner.m_kind];
    hold += kInnerShare * HoldTime(inner) *
            (aKind.m_inner.m_isConcurrent ? 1 : aKind.m_inner.m_count);
  }
  return hold;
}

double
Mix::Use(std::size_t aService, double aMeanSlowness) const
{
  double use = 0;
  for (const MixKind& kind : m_settings.m_kinds) {
    const double other =
      kind.m_service == kind.m_otherService ? 0.0 : kind.m_otherShare;
    const double part = aService == kind.m_service        ? 1 - other
                        : aService == kind.m_otherService ? other
                                                          : 0.0;
    use += part * kind.m_rate * HoldTime(kind) * aMeanSlowness;
    if (kind.m_inner.m_count > 0) {
      const MixKind& inner = m_settings.m_kinds[kind.m_inner.m_kind];
      use += inner.m_service == aService
               ? kind.m_rate * kInnerShare * kind.m_inner.m_count *
                   HoldTime(inner) * aMeanSlowness
               : 0.0;
    }
  }
  return use;
}

MixResult
Mix::Run()
{
  for (std::size_t i = 0; i < m_settings.m_kinds.size(); ++i) {
    for (std::size_t j = 0; j < kDataCentres; ++j) {
      ScheduleArrival(i, j);
    }
  }
  ChangePaces();
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_time;
    event.m_run();
  }
  return std::move(m_result);
}

void
Mix::ChangePaces()
{
  for (const auto& node : m_nodes) {
    const bool isSlow = m_random.Fraction() < m_settings.m_pacedShare;
    node->m_pace =
      isSlow
        ? PacePercent(static_cast<std::uint32_t>(101 + m_random.Below(150)))
        : kUsualPace;
  }
  if (m_now < kStart + m_settings.m_duration) {
    At(Seconds(kPacePeriod), [this] { ChangePaces(); });
  }
}

void
Mix::ScheduleArrival(std::size_t aKind, std::size_t aDataCentre)
{
  const auto& accounts = m_settings.m_accounts;
  const double usual = std::accumulate(accounts.begin(), accounts.end(), 0.0);
  const double flood = (Flood() - 1) * accounts.front() / usual;
  const double rate = m_settings.m_kinds[aKind].m_rate * m_rateFactor *
                      (1 + flood) / kDataCentres;
  if (rate <= 0) {
    return;
  }
  const double phase = 2 * M_PI *
                       (Seconds(m_now - kStart) / kDemandPeriod +
                        static_cast<double>(aDataCentre) / kDataCentres);
  const double gap =
    Exponential(1 / (rate * (1 + kDemandSwing * std::sin(phase))));
  if (m_now + FromSeconds(gap) < kStart + m_settings.m_duration) {
    At(gap, [=, this] {
      Arrive(aKind, aDataCentre);
      ScheduleArrival(aKind, aDataCentre);
    });
  }
}

void
Mix::Arrive(std::size_t aKind, std::size_t aDataCentre)
{
  CallerCall call;
  call.m_kind = aKind;
  call.m_start = m_now;
  std::vector<double> rates = m_settings.m_accounts;
  rates.front() *= Flood();
  double drawn =
    m_random.Fraction() * std::accumulate(rates.begin(), rates.end(), 0.0);
  while (call.m_account + 1 < rates.size() && drawn >= rates[call.m_account]) {
    drawn -= rates[call.m_account++];
  }
  const DataCentreId own("dc" + std::to_string(aDataCentre));
  do {
    call.m_node = m_random.Below(m_nodes.size());
  } while (m_nodes[call.m_node]->m_dataCentre != own);
  const double bytes = Exponential(m_settings.m_kinds[aKind].m_bodyBytes);
  call.m_body =
    ByteCount(static_cast<std::uint64_t>(std::min(bytes, kMaxBody)));
  Attempt(call);
}

void
Mix::Attempt(const CallerCall& aCall)
{
  const MixKind& kind = m_settings.m_kinds[aCall.m_kind];
  CallerCall call = aCall;
  call.m_attempt = m_now;
  Begin(call,
        aCall.m_start + kind.m_deadline - m_now,
        aCall.m_start + kind.m_objective,
        [=, this](const Answer& aAnswer) { EndOfAttempt(call, aAnswer); });
}

void
Mix::EndOfAttempt(const CallerCall& aCall, const Answer& aAnswer)
{
  const MixKind& kind = m_settings.m_kinds[aCall.m_kind];
  const double left = Seconds(aCall.m_start + kind.m_deadline - m_now);
  const double wait = std::max(kRetryAfter, Seconds(aAnswer.m_retryAfter));
  if (aAnswer.m_outcome == CallOutcome::NotRun && wait <= left / 3) {
    At(wait, [=, this] { Attempt(aCall); });
    return;
  }
  Count(aCall, aAnswer);
}

void
Mix::Count(const CallerCall& aCall, const Answer& aAnswer)
{
  if (aCall.m_start < kStart + m_settings.m_warmUp) {
    return;
  }
  const MixKind& kind = m_settings.m_kinds[aCall.m_kind];
  const Duration latency = m_now - aCall.m_start;
  for (MixStats* stats : { &m_result.m_kinds[aCall.m_kind],
                           &m_result.m_accounts[aCall.m_account] }) {
    ++stats->m_offered;
    stats->m_offeredValue += kind.m_value;
    const bool isServed = aAnswer.m_outcome == CallOutcome::Done;
    stats->m_heldToDeadline +=
      !isServed && m_now - aCall.m_attempt > kind.m_deadline / 2 ? 1 : 0;
    if (aAnswer.m_outcome == CallOutcome::NotRun) {
      ++stats->m_refused;
    } else if (aAnswer.m_outcome == CallOutcome::Unknown ||
               latency > kind.m_deadline) {
      ++stats->m_unknown;
    } else if (aAnswer.m_http.m_status != kOk) {
      ++stats->m_failed;
    } else if (latency <= kind.m_objective) {
      ++stats->m_inTime;
      stats->m_value += kind.m_value;
    } else {
      ++stats->m_late;
      stats->m_value += kind.m_lateValue;
    }
  }
}

void
Mix::Begin(const CallerCall& aCall,
           Duration aTimeRemaining,
           MonotonicTime aObjective,
           OnEnd aOnEnd)
{
  const std::uint64_t index = m_exchanges.size();
  const MixKind& kind = m_settings.m_kinds[aCall.m_kind];
  Exchange& exchange = m_exchanges.emplace_back();
  exchange.m_kind = aCall.m_kind;
  exchange.m_account = aCall.m_account;
  exchange.m_node = aCall.m_node;
  exchange.m_service = m_random.Fraction() < kind.m_otherShare
                         ? kind.m_otherService
                         : kind.m_service;
  exchange.m_body = aCall.m_body;
  exchange.m_deadline = m_now + aTimeRemaining;
  exchange.m_onEnd = std::move(aOnEnd);
  Node& node = *m_nodes[aCall.m_node];
  exchange.m_plan.emplace(CallPlan::Start(
    { .m_route = m_routes[aCall.m_kind],
      .m_service = node.m_views[exchange.m_service],
      .m_operation = OperationId("op-" + std::to_string(index)),
      .m_caller = ClientAccountId(m_result.m_accounts[aCall.m_account].m_name),
      .m_priority = kind.m_priority,
      .m_deadline = exchange.m_deadline,
      .m_dataCentre = node.m_dataCentre,
      .m_policies = node.m_policies,
      .m_objective = aObjective,
      .m_bodyBytes = aCall.m_body }));
  At(Seconds(aTimeRemaining), [this, index] {
    Exchange& due = m_exchanges[index];
    if (due.m_plan && !due.m_plan->IsFinished()) {
      Perform(index, due.m_plan->OnTimer(m_now));
      const std::size_t target = due.m_target;
      Apply(target,
            m_nodes[target]->m_guard->Cancel(
              CallerLink(due.m_link), CallId(index), m_now));
    }
    due.m_plan.reset();
  });
  Perform(index, exchange.m_plan->Begin(m_now));
}

void
Mix::Perform(std::uint64_t aExchange, const Step& aStep)
{
  // Links never fail in this model, so there are no queries.
  if (const auto* send = std::get_if<SendAttempt>(&aStep)) {
    Send(aExchange, *send);
  } else if (const auto* finish = std::get_if<struct Finish>(&aStep)) {
    std::exchange(m_exchanges[aExchange].m_onEnd, {})(finish->m_answer);
  }
}

void
Mix::Send(std::uint64_t aExchange, const SendAttempt& aSend)
{
  Exchange& open = m_exchanges[aExchange];
  const MixKind& kind = m_settings.m_kinds[open.m_kind];
  const std::uint64_t link = m_exchangeOfLink.size();
  m_exchangeOfLink.push_back(aExchange);
  open.m_link = link;
  open.m_target = aSend.m_target->m_incarnation.Value();
  const double delay = Delay(open.m_node, open.m_target, open.m_body);
  Call call;
  call.m_id = CallId(aExchange);
  call.m_operation = OperationId("op-" + std::to_string(aExchange));
  call.m_caller =
    ClientAccountId(kind.m_rate > 0 ? m_result.m_accounts[open.m_account].m_name
                                    : kOwner.Value());
  call.m_service = {
    kOwner, ServiceName(m_settings.m_services[open.m_service].m_name)
  };
  call.m_route = RouteName(kind.m_name);
  call.m_version = aSend.m_version;
  call.m_priority = kind.m_priority;
  call.m_attempt = aSend.m_attempt;
  call.m_idempotent = kind.m_idempotent;
  call.m_timeRemaining = aSend.m_timeRemaining - FromSeconds(delay);
  call.m_objectiveRemaining =
    std::max(aSend.m_objectiveRemaining - FromSeconds(delay), Duration(0));
  At(delay, [this, link, target = open.m_target, call] {
    Apply(target,
          m_nodes[target]->m_guard->Submit(call, CallerLink(link), m_now));
  });
}

double
Mix::Delay(std::size_t aFrom, std::size_t aTo, ByteCount aBody) const
{
  if (aFrom == aTo) {
    return 0;
  }
  const bool isNear =
    m_nodes[aFrom]->m_dataCentre == m_nodes[aTo]->m_dataCentre;
  return (isNear ? kNear : kFar) +
         2 * 8 * static_cast<double>(aBody.Value()) / kLinkRate;
}

void
Mix::Apply(std::size_t aNode, const GuardActions& aActions)
{
  for (const Reply& reply : aActions.m_replies) {
    const std::uint64_t link = reply.m_link.Value();
    const std::uint64_t index = m_exchangeOfLink[link];
    const double delay = Delay(m_exchanges[index].m_node, aNode, ByteCount(0));
    At(delay, [this, link, index, answer = reply.m_answer] {
      Exchange& open = m_exchanges[index];
      if (open.m_plan && !open.m_plan->IsFinished() && open.m_link == link) {
        Perform(index, open.m_plan->OnAnswer(answer, m_now));
      }
    });
  }
  for (const struct Run& run : aActions.m_runs) {
    StartRun(aNode, run);
  }
  ScheduleTick(aNode);
}

void
Mix::ScheduleTick(std::size_t aNode)
{
  const auto next = m_nodes[aNode]->m_guard->NextTick();
  if (next) {
    At(std::max(0.0, Seconds(*next - m_now)) + 0.001, [this, aNode] {
      const GuardActions actions = m_nodes[aNode]->m_guard->Tick(m_now);
      if (!actions.m_replies.empty() || !actions.m_runs.empty()) {
        Apply(aNode, actions);
      }
    });
  }
}

void
Mix::StartRun(std::size_t aNode, const struct Run& aRun)
{
  const auto kind = static_cast<std::size_t>(
    std::find_if(m_settings.m_kinds.begin(),
                 m_settings.m_kinds.end(),
                 [&](const MixKind& aKind) {
                   return aKind.m_name == aRun.m_call.m_route.Value();
                 }) -
    m_settings.m_kinds.begin());
  const MixKind& spec = m_settings.m_kinds[kind];
  const Node& node = *m_nodes[aNode];
  const double work = Seconds(spec.m_work) * node.m_slowness *
                      PaceFactor(node.m_pace) * (0.5 + Exponential(0.5));
  const MonotonicTime deadline = m_now + aRun.m_call.m_timeRemaining;
  const bool hasInner =
    spec.m_inner.m_count > 0 && m_random.Fraction() < kInnerShare;
  At(work, [=, this, ticket = aRun.m_ticket, call = aRun.m_call] {
    const InnerCalls& inner = m_settings.m_kinds[kind].m_inner;
    if (!hasInner) {
      EndRun(aNode, ticket, true);
    } else if (!inner.m_isConcurrent) {
      RunInner(
        aNode, call, deadline, inner.m_count, [=, this](const Answer& aLast) {
          EndRun(aNode, ticket, aLast.m_http.m_status == kOk);
        });
    } else {
      auto left = std::make_shared<int>(inner.m_count);
      auto isSuccess = std::make_shared<bool>(true);
      for (int i = 0; i < inner.m_count; ++i) {
        RunInner(aNode, call, deadline, 1, [=, this](const Answer& aLast) {
          *isSuccess = *isSuccess && aLast.m_http.m_status == kOk;
          if (--*left == 0) {
            EndRun(aNode, ticket, *isSuccess);
          }
        });
      }
    }
  });
}

void
Mix::RunInner(std::size_t aNode,
              const Call& aParent,
              MonotonicTime aDeadline,
              int aLeft,
              const OnEnd& aOnEnd)
{
  const auto parent =
    std::find_if(m_settings.m_kinds.begin(),
                 m_settings.m_kinds.end(),
                 [&](const MixKind& aKind) {
                   return aKind.m_name == aParent.m_route.Value();
                 });
  const MixKind& kind = m_settings.m_kinds[parent->m_inner.m_kind];
  CallerCall call;
  call.m_kind = parent->m_inner.m_kind;
  call.m_node = aNode;
  call.m_start = m_now;
  const Duration time = std::min(kind.m_deadline, aDeadline - m_now);
  if (time <= Duration::zero()) {
    aOnEnd(Answer{});
    return;
  }
  Begin(call, time, m_now + kind.m_objective, [=, this](const Answer& aAnswer) {
    if (aLeft > 1 && aAnswer.m_http.m_status == kOk) {
      RunInner(aNode, aParent, aDeadline, aLeft - 1, aOnEnd);
    } else {
      aOnEnd(aAnswer);
    }
  });
}

void
Mix::EndRun(std::size_t aNode, Ticket aTicket, bool aIsSuccess)
{
  Answer answer;
  answer.m_outcome = CallOutcome::Done;
  answer.m_http.m_status = aIsSuccess ? kOk : kServerError;
  answer.m_notice = UpstreamNotice{};
  answer.m_notice->m_load = LoadReport{};
  answer.m_notice->m_load->m_pace = m_nodes[aNode]->m_pace;
  Apply(aNode, m_nodes[aNode]->m_guard->Finished(aTicket, answer, m_now));
}

void
Mix::At(double aDelay, std::function<void()> aRun)
{
  m_events.push(
    { m_now + FromSeconds(aDelay), ++m_lastEvent, std::move(aRun) });
}

} // namespace

const MixStats&
MixResult::Kind(const std::string& aName) const
{
  return *std::find_if(
    m_kinds.begin(), m_kinds.end(), [&](const MixStats& aStats) {
      return aStats.m_name == aName;
    });
}

MixStats
MixResult::Total() const
{
  MixStats total;
  total.m_name = "all";
  for (const MixStats& stats : m_kinds) {
    total.m_offered += stats.m_offered;
    total.m_inTime += stats.m_inTime;
    total.m_late += stats.m_late;
    total.m_refused += stats.m_refused;
    total.m_failed += stats.m_failed;
    total.m_unknown += stats.m_unknown;
    total.m_heldToDeadline += stats.m_heldToDeadline;
    total.m_value += stats.m_value;
    total.m_offeredValue += stats.m_offeredValue;
  }
  return total;
}

std::string
MixResult::Text() const
{
  std::string text;
  std::vector<MixStats> rows = m_kinds;
  rows.push_back(Total());
  for (const MixStats& row : rows) {
    char line[160];
    const auto part = [&](std::uint64_t aCount) {
      return static_cast<double>(aCount) /
             static_cast<double>(std::max<std::uint64_t>(row.m_offered, 1));
    };
    std::snprintf(line,
                  sizeof line,
                  "%-12s offered %6lu value %.3f in time %.3f late %.3f "
                  "refused %.3f failed %.3f unknown %.3f held %.3f\n",
                  row.m_name.c_str(),
                  static_cast<unsigned long>(row.m_offered),
                  row.ValueShare(),
                  part(row.m_inTime),
                  part(row.m_late),
                  part(row.m_refused),
                  part(row.m_failed),
                  part(row.m_unknown),
                  part(row.m_heldToDeadline));
    text += row.m_offered > 0 ? line : "";
  }
  return text;
}

MixSettings
PreOrderMix()
{
  using std::chrono::milliseconds;
  constexpr std::size_t kCatalogue = 0;
  constexpr std::size_t kOrders = 1;
  constexpr std::size_t kIntake = 2;
  constexpr std::size_t kCollection = 3;
  const auto inner =
    [](const char* aName, std::size_t aService, std::uint8_t aPriority) {
      return MixKind{ .m_name = aName,
                      .m_service = aService,
                      .m_otherService = aService,
                      .m_work = milliseconds(30),
                      .m_objective = milliseconds(120),
                      .m_deadline = milliseconds(400),
                      .m_priority = aPriority,
                      .m_idempotent = true };
    };
  MixSettings settings;
  settings.m_services = {
    { "catalogue", 35 }, { "orders", 25 }, { "intake", 10 }, { "collection", 5 }
  };
  settings.m_kinds = { { .m_name = "browse",
                         .m_service = kCatalogue,
                         .m_otherService = kCatalogue,
                         .m_rate = 850,
                         .m_work = milliseconds(100),
                         .m_objective = milliseconds(500),
                         .m_deadline = milliseconds(3000),
                         .m_value = 1,
                         .m_lateValue = 0.1,
                         .m_priority = 2,
                         .m_idempotent = true,
                         .m_inner = { 4, 1, false } },
                       { .m_name = "order",
                         .m_service = kOrders,
                         .m_otherService = kCatalogue,
                         .m_otherShare = 0.15,
                         .m_rate = 336,
                         .m_work = milliseconds(140),
                         .m_objective = milliseconds(600),
                         .m_deadline = milliseconds(4000),
                         .m_value = 2,
                         .m_lateValue = 0.2,
                         .m_priority = 1,
                         .m_inner = { 5, 2, true } },
                       { .m_name = "upload",
                         .m_service = kIntake,
                         .m_otherService = kIntake,
                         .m_rate = 142,
                         .m_work = milliseconds(120),
                         .m_objective = milliseconds(800),
                         .m_deadline = milliseconds(5000),
                         .m_value = 2,
                         .m_lateValue = 0.2,
                         .m_priority = 1,
                         .m_inner = { 6, 1, false },
                         .m_bodyBytes = 60e3 },
                       { .m_name = "status",
                         .m_service = kCollection,
                         .m_otherService = kCollection,
                         .m_rate = 316,
                         .m_work = milliseconds(41),
                         .m_objective = milliseconds(250),
                         .m_deadline = milliseconds(1500),
                         .m_value = 2,
                         .m_lateValue = 0.2,
                         .m_priority = 1,
                         .m_idempotent = true },
                       inner("to-orders", kOrders, 2),
                       inner("to-intake", kIntake, 1),
                       inner("to-collection", kCollection, 1) };
  return settings;
}

MixSettings
StationsMix()
{
  using std::chrono::milliseconds;
  constexpr std::size_t kReadings = 0;
  constexpr std::size_t kCalibration = 1;
  constexpr std::size_t kAlerts = 2;
  constexpr std::size_t kBilling = 3;
  const auto inner =
    [](const char* aName, std::size_t aService, std::uint8_t aPriority) {
      return MixKind{ .m_name = aName,
                      .m_service = aService,
                      .m_otherService = aService,
                      .m_work = milliseconds(38),
                      .m_objective = milliseconds(150),
                      .m_deadline = milliseconds(500),
                      .m_priority = aPriority,
                      .m_idempotent = true };
    };
  MixSettings settings;
  settings.m_services = { { "readings", 36 },
                          { "calibration", 26 },
                          { "alerts", 10 },
                          { "billing", 5 } };
  settings.m_slots = 9;
  settings.m_queueLimit = 36;
  settings.m_pacedShare = 0;
  settings.m_accounts.assign(20, 1.0);
  settings.m_kinds = { { .m_name = "reading",
                         .m_service = kReadings,
                         .m_otherService = kReadings,
                         .m_rate = 1109,
                         .m_work = milliseconds(150),
                         .m_objective = milliseconds(500),
                         .m_deadline = milliseconds(1200),
                         .m_value = 0.91,
                         .m_lateValue = 0.27,
                         .m_priority = 1,
                         .m_idempotent = true,
                         .m_inner = { 4, 2, true } },
                       { .m_name = "calibration",
                         .m_service = kCalibration,
                         .m_otherService = kReadings,
                         .m_otherShare = 0.1,
                         .m_rate = 457,
                         .m_work = milliseconds(200),
                         .m_objective = milliseconds(1000),
                         .m_deadline = milliseconds(1500),
                         .m_value = 0.91,
                         .m_lateValue = 0.41,
                         .m_priority = 2,
                         .m_inner = { 5, 2, false } },
                       { .m_name = "alert",
                         .m_service = kAlerts,
                         .m_otherService = kAlerts,
                         .m_rate = 283,
                         .m_work = milliseconds(110),
                         .m_objective = milliseconds(250),
                         .m_deadline = milliseconds(800),
                         .m_value = 5.2,
                         .m_lateValue = 0.62,
                         .m_priority = 0,
                         .m_inner = { 6, 1, false } },
                       { .m_name = "billing",
                         .m_service = kBilling,
                         .m_otherService = kBilling,
                         .m_rate = 152,
                         .m_work = milliseconds(120),
                         .m_objective = milliseconds(400),
                         .m_deadline = milliseconds(1000),
                         .m_value = 0.91,
                         .m_lateValue = 0.27,
                         .m_priority = 1 },
                       inner("to-calibration", kCalibration, 1),
                       inner("to-alerts", kAlerts, 2),
                       inner("to-billing", kBilling, 0) };
  return settings;
}

MixResult
RunMix(const MixSettings& aSettings)
{
  return Mix(aSettings).Run();
}

} // namespace tarragontray::testing
