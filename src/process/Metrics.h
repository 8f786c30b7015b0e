/// \file
/// The node's metrics, as Prometheus text.
///
///     Metrics metrics(vm, dataCentre);
///     CallMetrics& calls = metrics.Calls(account, className);
///     calls.Observe(CallOutcome::Done, latency);
///     std::string text = metrics.Text();
///
/// Label sets are bounded: accounts and classes beyond kMaxCallSeries share
/// one series labelled "other".
///
/// Thread safety: any thread.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "base/Ids.h"
#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// The series of one client account and class.
class CallMetrics
{
public:
  virtual ~CallMetrics() = default;
  /// A call ended at its entry node.
  virtual void Observe(CallOutcome aOutcome, Duration aLatency) = 0;
};

/// What the control part spends and holds.
struct ControlStats
{
  Duration m_processorTime{ 0 };
  ByteCount m_sent;
  ByteCount m_received;
  std::size_t m_membersAlive = 0;
  std::size_t m_configurations = 0;
  std::size_t m_rejected = 0;
  CallCount m_platformCalls;
  CallCount m_badDatagrams;
};

/// What the guard holds.
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

  /// The series of an account and class; valid as long as this object.
  CallMetrics& Calls(const ClientAccountId& aAccount, const ClassName& aClass);
  void Set(const ControlStats& aFigures);
  void Set(const GuardStats& aFigures);
  /// All series in Prometheus' text format.
  std::string Text() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace tarragontray
