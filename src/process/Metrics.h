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
#include <string>

#include "base/Ids.h"
#include "base/Units.h"
#include "process/CallerBudget.h"
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
  CallCount m_ran;
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
  void Set(const GuardStats& aStats);
  /// Updates the gauges of what callers hold and what was limited.
  void Set(const CallerLimitCounters& aCounters);
  /// Returns all series in the Prometheus text format.
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace tarragontray
