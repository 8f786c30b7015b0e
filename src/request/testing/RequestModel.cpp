#include "request/testing/RequestModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>

#include "base/Random.h"
#include "request/CallPlan.h"
#include "request/testing/ModelParts.h"

namespace tarragontray::testing {

namespace {

constexpr Duration kOneWay = std::chrono::microseconds(500);
constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kServerError = 500;

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

struct OpenCall
{
  std::size_t m_account = 0;
  MonotonicTime m_start{};
  bool m_isCounted = false;
  std::optional<CallPlan> m_plan;
  /// The attempt that is out: its link at the target.
  std::uint64_t m_link = 0;
  std::size_t m_target = 0;
};

class Model
{
public:
  explicit Model(const ModelSettings& aSettings);
  ModelResult Run();

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

  double Capacity() const;
  double LoadAt(MonotonicTime aTime) const;
  double Rate(std::size_t aAccount, MonotonicTime aTime) const;
  void ScheduleArrival(std::size_t aAccount);
  void Arrive(std::size_t aAccount);
  void Perform(std::uint64_t aCall, const Step& aStep);
  void Send(std::uint64_t aCall, const SendAttempt& aSend);
  void End(std::uint64_t aCall, const Answer& aAnswer);
  void Apply(std::size_t aTarget, const GuardActions& aActions);
  void StartRun(std::size_t aTarget, const struct Run& aRun);
  void At(Duration aDelay, std::function<void()> aRun);
  SecondStats& SecondOf(MonotonicTime aTime);
  double Exponential(double aMean)
  {
    return -aMean * std::log(1 - m_random.Fraction());
  }

  ModelSettings m_settings;
  SeededRandom m_random;
  MonotonicTime m_now = kStart;
  MonotonicTime m_end;
  std::priority_queue<Event> m_events;
  std::uint64_t m_lastEvent = 0;
  std::vector<ModelUpstream> m_upstreams;
  ServiceView m_view;
  RouteSpec m_idempotent;
  RouteSpec m_plain;
  std::vector<std::unique_ptr<ModelEntry>> m_entries;
  std::deque<OpenCall> m_calls;
  std::vector<std::uint64_t> m_callOfLink;
  ModelResult m_result;
};

Model::Model(const ModelSettings& aSettings)
  : m_settings(aSettings)
  , m_random(aSettings.m_seed)
  , m_end(kStart + aSettings.m_phases.back().m_end)
{
  m_view.m_id = kService;
  m_view.m_split.m_from = kVersion;
  for (std::size_t i = 0; i < aSettings.m_targets; ++i) {
    m_upstreams.push_back(MakeUpstream(aSettings, i, m_now));
    m_view.m_targets.push_back(MakeTarget(aSettings, i));
  }
  for (std::size_t i = 0; i < aSettings.m_entryNodes; ++i) {
    m_entries.push_back(
      std::make_unique<ModelEntry>(aSettings, m_random.Next()));
  }
  m_plain.m_timeout = aSettings.m_timeout;
  m_idempotent = m_plain;
  m_idempotent.m_idempotent = true;
  m_result.m_accounts.resize(aSettings.m_steadyLoads.size() + 1);
  for (std::size_t i = 0; i < m_result.m_accounts.size(); ++i) {
    const bool isFlood = i == aSettings.m_steadyLoads.size();
    m_result.m_accounts[i].m_account =
      isFlood ? "flood" : "steady-" + std::to_string(i);
  }
}

double
Model::Capacity() const
{
  double callsPerSecond = 0;
  for (const ModelUpstream& upstream : m_upstreams) {
    callsPerSecond += upstream.m_trueSlots * upstream.m_speed /
                      Seconds(m_settings.m_serviceTime);
  }
  return callsPerSecond;
}

double
Model::LoadAt(MonotonicTime aTime) const
{
  for (const LoadPhase& phase : m_settings.m_phases) {
    if (aTime - kStart < phase.m_end) {
      return phase.m_load;
    }
  }
  return 0;
}

double
Model::Rate(std::size_t aAccount, MonotonicTime aTime) const
{
  const auto& steady = m_settings.m_steadyLoads;
  if (aAccount < steady.size()) {
    return steady[aAccount] * Capacity();
  }
  double rest = LoadAt(aTime);
  for (const double load : steady) {
    rest -= load;
  }
  return std::max(0.01, rest) * Capacity();
}

ModelResult
Model::Run()
{
  for (std::size_t i = 0; i < m_result.m_accounts.size(); ++i) {
    ScheduleArrival(i);
  }
  if (m_settings.m_outage) {
    const Outage outage = *m_settings.m_outage;
    const auto setFailures = [this, outage](double aPart) {
      const double hit =
        outage.m_targets * static_cast<double>(m_upstreams.size());
      for (std::size_t i = 0; i < static_cast<std::size_t>(hit); ++i) {
        m_upstreams[i].m_failures = aPart;
      }
    };
    At(outage.m_start, [=] { setFailures(outage.m_calls); });
    At(outage.m_end, [=] { setFailures(0); });
  }
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_time;
    event.m_run();
  }
  for (AccountStats& figures : m_result.m_accounts) {
    std::sort(figures.m_latencies.begin(), figures.m_latencies.end());
  }
  for (SecondStats& figures : m_result.m_seconds) {
    std::sort(figures.m_latencies.begin(), figures.m_latencies.end());
  }
  return std::move(m_result);
}

void
Model::ScheduleArrival(std::size_t aAccount)
{
  const double gap = Exponential(1 / Rate(aAccount, m_now));
  if (m_now + FromSeconds(gap) < m_end) {
    At(FromSeconds(gap), [this, aAccount] {
      Arrive(aAccount);
      ScheduleArrival(aAccount);
    });
  }
}

void
Model::Arrive(std::size_t aAccount)
{
  const std::uint64_t index = m_calls.size();
  OpenCall& call = m_calls.emplace_back();
  call.m_account = aAccount;
  call.m_start = m_now;
  call.m_isCounted = m_now - kStart >= m_settings.m_warmUp;
  m_result.m_accounts[aAccount].m_offered += call.m_isCounted ? 1 : 0;
  ++SecondOf(m_now).m_offered;
  const bool isIdempotent = m_random.Fraction() < m_settings.m_idempotentShare;
  ModelEntry& entry = *m_entries[m_random.Below(m_entries.size())];
  call.m_plan.emplace(
    CallPlan::Start({ isIdempotent ? m_idempotent : m_plain,
                      m_view,
                      OperationId("op-" + std::to_string(index)),
                      false,
                      ClientAccountId(m_result.m_accounts[aAccount].m_account),
                      0,
                      m_now + m_settings.m_timeout,
                      DataCentreId("dc1"),
                      *entry.m_policies }));
  At(m_settings.m_timeout, [this, index] {
    OpenCall& due = m_calls[index];
    if (!due.m_plan->IsFinished()) {
      Perform(index, due.m_plan->OnTimer(m_now));
      const std::size_t target = due.m_target;
      Apply(target,
            m_upstreams[target].m_guard->Cancel(
              CallerLink(due.m_link), CallId(index), m_now));
    }
    due.m_plan.reset();
  });
  Perform(index, call.m_plan->Begin(m_now));
}

void
Model::Perform(std::uint64_t aCall, const Step& aStep)
{
  // No link fails here, so that nothing is asked about.
  if (const auto* send = std::get_if<SendAttempt>(&aStep)) {
    Send(aCall, *send);
  } else if (const auto* finish = std::get_if<struct Finish>(&aStep)) {
    End(aCall, finish->m_answer);
  }
}

void
Model::Send(std::uint64_t aCall, const SendAttempt& aSend)
{
  OpenCall& open = m_calls[aCall];
  const std::uint64_t link = m_callOfLink.size();
  m_callOfLink.push_back(aCall);
  open.m_link = link;
  open.m_target =
    static_cast<std::size_t>(aSend.m_target - m_view.m_targets.data());
  Call call;
  call.m_id = CallId(aCall);
  call.m_operation = OperationId("op-" + std::to_string(aCall));
  call.m_caller =
    ClientAccountId(m_result.m_accounts[open.m_account].m_account);
  call.m_service = kService;
  call.m_version = aSend.m_version;
  call.m_attempt = aSend.m_attempt;
  call.m_idempotent = open.m_plan->IsIdempotent();
  call.m_timeRemaining = aSend.m_timeRemaining - kOneWay;
  At(kOneWay, [this, link, target = open.m_target, call] {
    Apply(target,
          m_upstreams[target].m_guard->Submit(call, CallerLink(link), m_now));
  });
}

void
Model::End(std::uint64_t aCall, const Answer& aAnswer)
{
  const OpenCall& call = m_calls[aCall];
  const double latency = Seconds(m_now - call.m_start) * 1000;
  const bool isDone =
    aAnswer.m_outcome == CallOutcome::Done && aAnswer.m_http.m_status == kOk;
  if (isDone) {
    SecondStats& second = SecondOf(call.m_start);
    ++second.m_done;
    second.m_latencies.push_back(latency);
  }
  if (!call.m_isCounted) {
    return;
  }
  AccountStats& figures = m_result.m_accounts[call.m_account];
  if (isDone) {
    ++figures.m_done;
    figures.m_latencies.push_back(latency);
  } else if (aAnswer.m_outcome == CallOutcome::NotRun) {
    ++figures.m_notRun;
  } else {
    ++figures.m_unknown;
  }
}

void
Model::Apply(std::size_t aTarget, const GuardActions& aActions)
{
  for (const struct Run& run : aActions.m_runs) {
    StartRun(aTarget, run);
  }
  for (const Reply& reply : aActions.m_replies) {
    Answer answer = reply.m_answer;
    if (m_upstreams[aTarget].m_isMisleading) {
      answer.m_load.m_running = 0;
      answer.m_load.m_queued = 0;
    }
    At(kOneWay, [this, link = reply.m_link.Value(), answer] {
      const std::uint64_t call = m_callOfLink[link];
      OpenCall& open = m_calls[call];
      const bool isOut = open.m_plan && !open.m_plan->IsFinished();
      if (isOut && open.m_link == link) {
        Perform(call, open.m_plan->OnAnswer(answer, m_now));
      }
    });
  }
  // An abort frees nothing here: the upstream works on.
}

void
Model::StartRun(std::size_t aTarget, const struct Run& aRun)
{
  ModelUpstream& upstream = m_upstreams[aTarget];
  ++upstream.m_running;
  ++SecondOf(m_now).m_runs;
  const double crowding = std::max(
    1.0, static_cast<double>(upstream.m_running) / upstream.m_trueSlots);
  const double mean =
    Seconds(m_settings.m_serviceTime) * crowding / upstream.m_speed;
  Answer answer;
  answer.m_outcome = CallOutcome::Done;
  const bool fails = m_random.Fraction() < upstream.m_failures;
  answer.m_http.m_status = fails ? kServerError : kOk;
  At(FromSeconds(Exponential(mean)),
     [this, aTarget, ticket = aRun.m_ticket, answer] {
       ModelUpstream& ended = m_upstreams[aTarget];
       --ended.m_running;
       Apply(aTarget, ended.m_guard->Finished(ticket, answer, m_now));
     });
}

void
Model::At(Duration aDelay, std::function<void()> aRun)
{
  m_events.push({ m_now + aDelay, ++m_lastEvent, std::move(aRun) });
}

SecondStats&
Model::SecondOf(MonotonicTime aTime)
{
  const auto second = static_cast<std::size_t>(Seconds(aTime - kStart));
  if (m_result.m_seconds.size() <= second) {
    m_result.m_seconds.resize(second + 1);
  }
  return m_result.m_seconds[second];
}

} // namespace

AccountStats
ModelResult::Total() const
{
  AccountStats total;
  total.m_account = "all";
  for (const AccountStats& account : m_accounts) {
    total.m_offered += account.m_offered;
    total.m_done += account.m_done;
    total.m_notRun += account.m_notRun;
    total.m_unknown += account.m_unknown;
    total.m_latencies.insert(total.m_latencies.end(),
                             account.m_latencies.begin(),
                             account.m_latencies.end());
  }
  std::sort(total.m_latencies.begin(), total.m_latencies.end());
  return total;
}

ModelResult
RunModel(const ModelSettings& aSettings)
{
  return Model(aSettings).Run();
}

double
Percentile(const std::vector<double>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(last * aPart)];
}

} // namespace tarragontray::testing
