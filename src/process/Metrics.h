/// \file
/// The node's metrics in the Prometheus text format.
///
///     Metrics metrics(vm, dataCentre);
///     CallMetrics& calls = metrics.Calls(account, className);
///     calls.Observe(CallOutcome::Done, latency);
///     std::string text = metrics.Text();
///
/// The number of label sets is bounded: beyond kMaxCallSeries pairs of account
/// and class, further pairs share one series labelled "other".
///
/// Thread safety: any thread.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/CallerBudget.h"
#include "request/AdmissionPolicy.h"
#include "request/Call.h"

namespace tarragontray {

/// Latency and outcome metrics of one client account and caller class. Thread
/// safety: any thread.
class CallMetrics
{
public:
  virtual ~CallMetrics() = default;
  /// Records a call that ended at its entry node.
  virtual void Observe(CallOutcome aOutcome, Duration aLatency) = 0;
};

/// Resource usage and state of the control thread.
struct ControlStats
{
  Duration m_processorTime{ 0 };
  ByteCount m_sent;
  ByteCount m_received;
  std::size_t m_membersAlive = 0;
  std::size_t m_configurations = 0;
  std::size_t m_rejected = 0;
  std::size_t m_evacuated = 0;
  CallCount m_platformCalls;
  /// Requests to the platform that were sent again on another connection.
  CallCount m_platformResent;
  CallCount m_badDatagrams;
};

/// Load and counters of the guard.
struct GuardStats
{
  LoadReport m_load;
  CallCount m_refused;
  /// Those of m_refused that were refused because of an evacuation.
  CallCount m_refusedEvacuated;
  CallCount m_ran;
  /// Answers whose load report could not be read.
  CallCount m_unreadableLoads;
  /// Whether starts are limited because the upstream is or may be cold.
  bool m_isLimitedAsCold = false;
  /// Calls that waited, and that were refused, under that limit.
  CallCount m_delayedAsCold;
  CallCount m_refusedAsCold;
  CallCount m_healthRequests;
  /// Calls whose reused connection was closed before an answer began: those
  /// sent once more, those that the upstream may have read, and those that it
  /// takes no more since it leaves.
  CallCount m_resent;
  CallCount m_resendsLate;
  CallCount m_resendsClosed;
  /// Calls refused because they could not be answered in time.
  CallCount m_refusedForTime;
  /// Calls refused because their account held its part of the queue.
  CallCount m_refusedForShare;
  AdmissionCounters m_admission;
  /// The time of the last confirmation of the configuration with accounts.
  std::optional<BootTime> m_confirmedAt{};
  /// What this node's pool of account tokens has granted to nodes of its data
  /// centre, and exchanged with other data centres, in calls.
  CallCount m_tokensGranted{};
  CallCount m_tokensReceived{};
  CallCount m_tokensGiven{};
  /// Requests for tokens that were older than the last one or over a bound.
  std::uint64_t m_tokenRequestsRejected = 0;
};

/// See the file comment.
class Metrics
{
public:
  static constexpr std::size_t kMaxCallSeries = 200;

  Metrics(const VmId& aVm, const DataCentreId& aDataCentre);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Returns the series of an account and class, valid as long as this object.
  CallMetrics& Calls(const ClientAccountId& aAccount, const ClassName& aClass);
  /// Updates the gauges of the control thread.
  void Set(const ControlStats& aStats);
  /// Updates the gauges of the guard.
  /// \param aNow for the age of the last confirmation.
  void Set(const GuardStats& aStats, BootTime aNow);
  /// Counts a call that an entry node refused because of its account's rate or
  /// because the configuration was not confirmed. Other reasons are ignored.
  void CountRefusal(RefusalReason aReason);
  /// Updates the gauges of what callers hold and what was limited.
  void Set(const CallerLimitCounters& aCounters);
  /// Returns all series in the Prometheus text format.
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace tarragontray
