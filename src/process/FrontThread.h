/// \file
/// A traffic thread that accepts HTTP calls from callers and forwards them over
/// peer links.
///
///     auto front = FrontThread::Create(settings, clock, metrics, onBatch);
///     front.value()->Publish(view);
///     front.value()->Drain();
///
/// Each thread has its own sessions, links and policies. A call stays on one
/// thread from its first byte to its answer.
///
/// Thread safety: every public method may be called from any thread, unless it
/// says otherwise.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/Clock.h"
#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "connection/PeerLink.h"
#include "process/AccountRules.h"
#include "process/FreshnessLease.h"
#include "process/IdleSignal.h"
#include "process/ListenerSettings.h"
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
  /// The service of this VM, sent as the origin of its calls; empty when
  /// unknown.
  ServiceName m_origin;
  /// Listens for callers. All front threads of a process share the port.
  NetworkAddress m_address;
  /// Never null.
  std::shared_ptr<const CallerDialect> m_dialect;
  /// Distinguishes the front threads of one process.
  std::uint32_t m_index = 0;
  std::uint64_t m_seed = 0;
  LinkSettings m_links;
  RetryBudgetSettings m_retries;
  /// The front threads of the process.
  std::uint32_t m_count = 1;
  RateSettings m_rates;
  FreshnessSettings m_freshness;
  /// The store has confirmed the accounts, as another node told. Called on the
  /// front thread. May be empty.
  std::function<void(const Confirmation&)> m_onConfirmed;
  /// This node should read the store's revision, since no other node tells its
  /// age. Called on the front thread. May be empty.
  std::function<void()> m_onNeedsRead;
  ListenerSettings m_callers;
};

/// See the file comment.
class FrontThread
{
public:
  /// Receives a batch of observations; called on the front thread.
  using OnBatch = std::function<void(ObservationBatch)>;

  virtual ~FrontThread() = default;

  /// Listens and starts the thread. Errors: Unavailable; InvalidArgument when
  /// the revocation limit is too short.
  /// \param aClock, aMetrics, aInFlight must outlive the thread. aInFlight
  /// counts calls from the first byte read to the last byte written.
  static Result<std::unique_ptr<FrontThread>> Create(
    const FrontSettings& aSettings,
    const Clock& aClock,
    Metrics& aMetrics,
    IdleSignal& aInFlight,
    OnBatch aOnBatch);

  /// The address on which the thread listens.
  virtual NetworkAddress Address() const = 0;
  /// Calls that begin from now on use aView.
  virtual void Publish(std::shared_ptr<const View> aView) = 0;
  /// Adopts a confirmation that another thread has received.
  virtual void Confirm(const Confirmation& aConfirmation) = 0;
  /// Asks callers, in each answer, to use another node. Calls that begin from
  /// now on are answered before aEnd.
  virtual void Leave(MonotonicTime aEnd) = 0;
  /// Accepts no new calls; running calls continue. A request that is still
  /// being read is refused unless its call can take its full time before the
  /// end of Leave.
  /// Call once.
  virtual void Drain() = 0;
  /// Blocks until the thread has processed Drain and its last session has
  /// ended, at most for aLimit. Call after Drain. \return true when no session
  /// is open.
  virtual bool WaitForSessions(Duration aLimit) = 0;
  /// Ends the thread and aborts the calls that are still running.
  virtual void Stop() = 0;
};

} // namespace tarragontray
