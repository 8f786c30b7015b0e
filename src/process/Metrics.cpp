#include "process/Metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace tarragontray {

namespace {

using Labels = std::map<std::string, std::string>;

const prometheus::Histogram::BucketBoundaries&
LatencyBoundaries()
{
  static const prometheus::Histogram::BucketBoundaries kBoundaries{
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032,
    0.064,  0.128, 0.256, 0.512, 1.024, 2.048, 4.096
  };
  return kBoundaries;
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

class Series final : public CallMetrics
{
public:
  Series(prometheus::Histogram& aLatency,
         std::array<prometheus::Counter*, 3> aOutcomes)
    : m_latency(aLatency)
    , m_outcomes(aOutcomes)
  {
  }

  void Observe(CallOutcome aOutcome, Duration aLatency) override
  {
    m_latency.Observe(Seconds(aLatency));
    m_outcomes[static_cast<std::size_t>(aOutcome)]->Increment();
  }

private:
  prometheus::Histogram& m_latency;
  std::array<prometheus::Counter*, 3> m_outcomes;
};

} // namespace

struct Metrics::State
{
  explicit State(Labels aLabels)
    : m_labels(std::move(aLabels))
    , m_latency(prometheus::BuildHistogram()
                  .Name("tarragontray_call_seconds")
                  .Help("Time of a call at its entry node.")
                  .Labels(m_labels)
                  .Register(m_registry))
    , m_outcomes(prometheus::BuildCounter()
                   .Name("tarragontray_calls_total")
                   .Help("Calls by outcome at their entry node.")
                   .Labels(m_labels)
                   .Register(m_registry))
  {
  }

  prometheus::Gauge& Gauge(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildGauge()
      .Name("tarragontray_" + aName)
      .Help(aHelp)
      .Labels(m_labels)
      .Register(m_registry)
      .Add({});
  }

  CallMetrics& MakeSeries(const std::string& aAccount,
                          const std::string& aClass)
  {
    const Labels labels{ { "account", aAccount }, { "class", aClass } };
    std::array<prometheus::Counter*, 3> outcomes{};
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      Labels withOutcome = labels;
      withOutcome["outcome"] = Name(static_cast<CallOutcome>(i));
      outcomes[i] = &m_outcomes.Add(withOutcome);
    }
    auto series = std::make_unique<Series>(
      m_latency.Add(labels, LatencyBoundaries()), outcomes);
    return *m_series.emplace(std::pair(aAccount, aClass), std::move(series))
              .first->second;
  }

  Labels m_labels;
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Histogram>& m_latency;
  prometheus::Family<prometheus::Counter>& m_outcomes;
  std::mutex m_mutex;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<CallMetrics>>
    m_series;

  prometheus::Gauge& m_processor =
    Gauge("control_processor_seconds", "Processor time of the control thread.");
  prometheus::Gauge& m_sent =
    Gauge("control_sent_bytes", "Control bytes sent to other nodes.");
  prometheus::Gauge& m_received =
    Gauge("control_received_bytes", "Control bytes received from other nodes.");
  prometheus::Gauge& m_members =
    Gauge("members_alive", "Nodes that the membership holds alive.");
  prometheus::Gauge& m_configurations =
    Gauge("configurations_in_force", "Account configurations in force.");
  prometheus::Gauge& m_rejected =
    Gauge("configurations_rejected", "Newest versions that were rejected.");
  prometheus::Gauge& m_platformCalls =
    Gauge("platform_calls", "Calls to the platform since the start.");
  prometheus::Gauge& m_platformResent =
    Gauge("platform_resent", "Requests to the platform that were sent again.");
  prometheus::Gauge& m_badDatagrams =
    Gauge("bad_datagrams", "Datagrams that did not decode.");
  prometheus::Gauge& m_running =
    Gauge("guard_running", "Calls that run at the upstream.");
  prometheus::Gauge& m_queued =
    Gauge("guard_queued", "Calls that wait for a slot.");
  prometheus::Gauge& m_refused =
    Gauge("guard_refused", "Calls that the guard refused since the start.");
  prometheus::Gauge& m_ran =
    Gauge("guard_ran", "Calls that the upstream ended since the start.");
  prometheus::Gauge& m_callerSessions =
    Gauge("caller_sessions", "Open connections of callers.");
  prometheus::Gauge& m_callerHeld =
    Gauge("caller_held_bytes", "Memory that callers make the process keep.");
  prometheus::Gauge& m_closedForMemory =
    Gauge("caller_closed_for_memory",
          "Connections closed over the budget of memory since the start.");
  prometheus::Gauge& m_refusedForMemory =
    Gauge("caller_refused_for_memory",
          "Requests refused over the budget of memory since the start.");
  prometheus::Gauge& m_oversized =
    Gauge("caller_oversized",
          "Requests refused for their size since the start.");
  prometheus::Gauge& m_slow =
    Gauge("caller_slow", "Connections closed as too slow since the start.");
  prometheus::Gauge& m_surplusSessions =
    Gauge("caller_surplus_sessions",
          "Connections closed because too many were open since the start.");
};

Metrics::Metrics(const VmId& aVm, const DataCentreId& aDataCentre)
  : m_state(std::make_unique<State>(
      Labels{ { "vm", aVm.Value() }, { "data_centre", aDataCentre.Value() } }))
{
}

Metrics::~Metrics() = default;

CallMetrics&
Metrics::Calls(const ClientAccountId& aAccount, const ClassName& aClass)
{
  const std::lock_guard lock(m_state->m_mutex);
  auto key = std::pair(aAccount.Value(), aClass.Value());
  if (!m_state->m_series.contains(key) &&
      m_state->m_series.size() >= kMaxCallSeries) {
    key = { "other", "other" };
  }
  const auto found = m_state->m_series.find(key);
  return found != m_state->m_series.end()
           ? *found->second
           : m_state->MakeSeries(key.first, key.second);
}

void
Metrics::Set(const ControlStats& aStats)
{
  m_state->m_processor.Set(Seconds(aStats.m_processorTime));
  m_state->m_sent.Set(static_cast<double>(aStats.m_sent.Value()));
  m_state->m_received.Set(static_cast<double>(aStats.m_received.Value()));
  m_state->m_members.Set(static_cast<double>(aStats.m_membersAlive));
  m_state->m_configurations.Set(static_cast<double>(aStats.m_configurations));
  m_state->m_rejected.Set(static_cast<double>(aStats.m_rejected));
  m_state->m_platformCalls.Set(
    static_cast<double>(aStats.m_platformCalls.Value()));
  m_state->m_platformResent.Set(
    static_cast<double>(aStats.m_platformResent.Value()));
  m_state->m_badDatagrams.Set(
    static_cast<double>(aStats.m_badDatagrams.Value()));
}

void
Metrics::Set(const GuardStats& aStats)
{
  m_state->m_running.Set(aStats.m_load.m_running);
  m_state->m_queued.Set(aStats.m_load.m_queued);
  m_state->m_refused.Set(static_cast<double>(aStats.m_refused.Value()));
  m_state->m_ran.Set(static_cast<double>(aStats.m_ran.Value()));
}

void
Metrics::Set(const CallerLimitCounters& aCounters)
{
  const auto set = [](prometheus::Gauge& aGauge,
                      const std::atomic<std::uint64_t>& aCount) {
    aGauge.Set(static_cast<double>(aCount.load()));
  };
  set(m_state->m_callerSessions, aCounters.m_sessions);
  set(m_state->m_callerHeld, aCounters.m_heldBytes);
  set(m_state->m_closedForMemory, aCounters.m_closedForMemory);
  set(m_state->m_refusedForMemory, aCounters.m_refusedForMemory);
  set(m_state->m_oversized, aCounters.m_oversized);
  set(m_state->m_slow, aCounters.m_slow);
  set(m_state->m_surplusSessions, aCounters.m_surplusSessions);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_state->m_registry.Collect());
}

} // namespace tarragontray
