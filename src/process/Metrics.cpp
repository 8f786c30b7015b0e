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
  prometheus::Gauge& m_evacuated =
    Gauge("data_centres_evacuated", "Data centres that are being evacuated.");
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
  prometheus::Gauge& m_refusedEvacuated =
    Gauge("guard_refused_evacuated",
          "Calls that the guard refused because of an evacuation.");
  prometheus::Gauge& m_ran =
    Gauge("guard_ran", "Calls that the upstream ended since the start.");
  prometheus::Gauge& m_pace = Gauge(
    "guard_pace_percent",
    "Time that work takes on the upstream's VM, in per cent of the usual.");
  prometheus::Gauge& m_unreadableLoads =
    Gauge("guard_unreadable_loads",
          "Answers whose load report could not be read since the start.");
  prometheus::Gauge& m_isLimitedAsCold =
    Gauge("guard_cold", "1 while the upstream is or may be cold.");
  prometheus::Gauge& m_delayedAsCold =
    Gauge("guard_cold_delayed",
          "Calls that waited while the upstream was or might have been cold.");
  prometheus::Gauge& m_refusedAsCold =
    Gauge("guard_cold_refused",
          "Calls refused while the upstream was or might have been cold.");
  prometheus::Gauge& m_healthRequests =
    Gauge("guard_health_requests", "Health requests since the start.");
  prometheus::Gauge& m_resent =
    Gauge("guard_resent",
          "Calls sent once more since the start, after a reused connection "
          "was closed.");
  prometheus::Gauge& m_resendsLate =
    Gauge("guard_resends_late",
          "Calls not sent once more since the start, as the upstream may have "
          "read them.");
  prometheus::Gauge& m_resendsClosed =
    Gauge("guard_resends_closed",
          "Calls not sent once more since the start, as the upstream leaves.");
  prometheus::Gauge& m_refusedForTime =
    Gauge("guard_refused_for_time",
          "Calls refused since the start that could not be answered in time.");
  prometheus::Gauge& m_refusedForShare =
    Gauge("guard_refused_for_share",
          "Calls refused since the start as their account filled the queue.");
  prometheus::Gauge& m_activeAccounts =
    Gauge("guard_accounts_active", "Accounts with calls in the last seconds.");
  prometheus::Gauge& m_overShare =
    Gauge("guard_calls_over_share",
          "Calls since the start that came after those of other accounts.");
  prometheus::Gauge& m_untracked =
    Gauge("guard_calls_untracked",
          "Calls since the start of accounts beyond those with a share.");
  prometheus::Gauge& m_confirmationAge =
    Gauge("confirmation_age_seconds",
          "Time since the store confirmed the accounts; -1 when it never did.");
  prometheus::Gauge& m_tokensGranted =
    Gauge("tokens_granted", "Calls granted by this node's pool.");
  prometheus::Gauge& m_tokensReceived =
    Gauge("tokens_received", "Calls received from other data centres' pools.");
  prometheus::Gauge& m_tokensGiven =
    Gauge("tokens_given", "Calls given to other data centres' pools.");
  prometheus::Gauge& m_tokenRequestsRejected =
    Gauge("token_requests_rejected",
          "Requests for tokens that were out of date or over a bound.");
  prometheus::Gauge& m_refusedRate =
    Gauge("refused_account_rate", "Calls refused by their account's rate.");
  prometheus::Gauge& m_refusedStale =
    Gauge("refused_stale_configuration",
          "Calls refused because the accounts were not confirmed in time.");
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
  m_state->m_evacuated.Set(static_cast<double>(aStats.m_evacuated));
  m_state->m_platformCalls.Set(
    static_cast<double>(aStats.m_platformCalls.Value()));
  m_state->m_platformResent.Set(
    static_cast<double>(aStats.m_platformResent.Value()));
  m_state->m_badDatagrams.Set(
    static_cast<double>(aStats.m_badDatagrams.Value()));
}

void
Metrics::Set(const GuardStats& aStats, BootTime aNow)
{
  m_state->m_confirmationAge.Set(
    aStats.m_confirmedAt ? Seconds(aNow - *aStats.m_confirmedAt) : -1);
  m_state->m_tokensGranted.Set(
    static_cast<double>(aStats.m_tokensGranted.Value()));
  m_state->m_tokensReceived.Set(
    static_cast<double>(aStats.m_tokensReceived.Value()));
  m_state->m_tokensGiven.Set(static_cast<double>(aStats.m_tokensGiven.Value()));
  m_state->m_tokenRequestsRejected.Set(
    static_cast<double>(aStats.m_tokenRequestsRejected));
  m_state->m_running.Set(aStats.m_load.m_running);
  m_state->m_queued.Set(aStats.m_load.m_queued);
  m_state->m_refused.Set(static_cast<double>(aStats.m_refused.Value()));
  m_state->m_refusedEvacuated.Set(
    static_cast<double>(aStats.m_refusedEvacuated.Value()));
  m_state->m_ran.Set(static_cast<double>(aStats.m_ran.Value()));
  m_state->m_pace.Set(aStats.m_load.m_pace.Value());
  m_state->m_unreadableLoads.Set(
    static_cast<double>(aStats.m_unreadableLoads.Value()));
  m_state->m_isLimitedAsCold.Set(aStats.m_isLimitedAsCold ? 1 : 0);
  m_state->m_delayedAsCold.Set(
    static_cast<double>(aStats.m_delayedAsCold.Value()));
  m_state->m_refusedAsCold.Set(
    static_cast<double>(aStats.m_refusedAsCold.Value()));
  m_state->m_healthRequests.Set(
    static_cast<double>(aStats.m_healthRequests.Value()));
  m_state->m_resent.Set(static_cast<double>(aStats.m_resent.Value()));
  m_state->m_resendsLate.Set(static_cast<double>(aStats.m_resendsLate.Value()));
  m_state->m_resendsClosed.Set(
    static_cast<double>(aStats.m_resendsClosed.Value()));
  m_state->m_refusedForTime.Set(
    static_cast<double>(aStats.m_refusedForTime.Value()));
  m_state->m_refusedForShare.Set(
    static_cast<double>(aStats.m_refusedForShare.Value()));
  m_state->m_activeAccounts.Set(
    static_cast<double>(aStats.m_admission.m_activeAccounts));
  m_state->m_overShare.Set(static_cast<double>(aStats.m_admission.m_overShare));
  m_state->m_untracked.Set(static_cast<double>(aStats.m_admission.m_untracked));
}

void
Metrics::CountRefusal(RefusalReason aReason)
{
  if (aReason == RefusalReason::AccountRate) {
    m_state->m_refusedRate.Increment();
  } else if (aReason == RefusalReason::StaleConfiguration) {
    m_state->m_refusedStale.Increment();
  }
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
