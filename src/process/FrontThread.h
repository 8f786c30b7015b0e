/// \file
/// A traffic thread that serves callers: HTTP in, peer links out.
///
///     auto front = FrontThread::Create(settings, clock, metrics, onBatch);
///     front.value()->Publish(view);
///     front.value()->Drain();
///
/// Each thread has its own sessions, links and policies; a call never changes
/// threads.
///
/// Thread safety: every public method from any thread, unless it says
/// otherwise.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "connection/PeerLink.h"
#include "process/IdleSignal.h"
#include "process/Metrics.h"
#include "process/TrafficReport.h"
#include "process/View.h"
#include "request/HttpDialect.h"
#include "request/RetryBudget.h"

namespace tarragontray {

/// Settings of one front thread.
struct FrontSettings
{
  VmId m_vm;
  DataCentreId m_dataCentre;
  RegionId m_region;
  Incarnation m_incarnation;
  /// The service of this VM; empty when unknown.
  ServiceName m_origin;
  NetworkAddress m_address;
  /// Never null.
  std::shared_ptr<const CallerDialect> m_dialect;
  /// Tells the threads of one process apart.
  std::uint32_t m_index = 0;
  std::uint64_t m_seed = 0;
  LinkSettings m_links;
  RetryBudgetSettings m_retries;
};

/// See the file comment.
class FrontThread
{
public:
  /// Gets a batch, on the front's thread.
  using OnBatch = std::function<void(ObservationBatch)>;

  virtual ~FrontThread() = default;

  /// Listens and starts the thread. Errors: Unavailable.
  /// \param aClock, aMetrics, aInFlight must outlive the thread. aInFlight
  /// counts calls from the first byte that was read to the last one written.
  static Result<std::unique_ptr<FrontThread>> Create(
    const FrontSettings& aSettings,
    const Clock& aClock,
    Metrics& aMetrics,
    IdleSignal& aInFlight,
    OnBatch aOnBatch);

  /// Calls that begin from now on are served by this view.
  virtual void Publish(std::shared_ptr<const View> aView) = 0;
  /// Callers are told with each answer to go elsewhere; calls that begin from
  /// now on are answered by aEnd.
  virtual void Leave(MonotonicTime aEnd) = 0;
  /// Accepts no new callers; calls that run go on.
  virtual void Drain() = 0;
  /// Ends the thread; calls that still run are cut.
  virtual void Stop() = 0;
};

} // namespace tarragontray
