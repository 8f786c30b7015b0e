/// \file
/// The traffic thread in front of this VM's upstream. It accepts calls over
/// peer links, applies the guard's decisions and forwards admitted calls to the
/// upstream by HTTP.
///
///     auto guard = GuardThread::Create(settings, clock, inFlight, events);
///     guard.value()->SetUpstream(announcement, address);
///     guard.value()->Drain();
///
/// Thread safety: every public method may be called from any thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "process/AccountRules.h"
#include "process/FreshnessLease.h"
#include "process/IdleSignal.h"
#include "process/MemberRecord.h"
#include "process/Metrics.h"
#include "process/TrafficReport.h"
#include "process/View.h"
#include "request/AdmissionPolicy.h"
#include "request/ColdUpstream.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Settings of the guard thread.
struct GuardThreadSettings
{
  /// Listens for peer links (TCP).
  NetworkAddress m_address;
  VmId m_vm;
  Incarnation m_incarnation;
  /// The HTTP dialect of the upstream; never null.
  std::shared_ptr<const UpstreamDialect> m_dialect;
  /// Admits calls by their objectives instead of by fair shares of accounts.
  bool m_admitsByObjective = false;
  /// Limits the starts of calls to an upstream that is or may be cold; not set:
  /// no limit, and no health requests.
  std::optional<ColdAllowance> m_cold{};
  /// Maximum number of open peer links; further connections are closed.
  std::size_t m_maxLinks = 4096;
  RateSettings m_rates;
};

/// Callbacks from the guard thread to the control thread; called on the guard
/// thread.
struct GuardEvents
{
  /// The upstream with this instance id has stated that it is leaving.
  std::function<void(UpstreamInstanceId)> m_onUpstreamLeaving;
  /// Usage of the upstream since the previous batch.
  std::function<void(UsageBatch)> m_onUsage;
  /// An encoded pull request from a peer. The second argument sends the encoded
  /// answer; it may be called from any thread.
  std::function<void(std::string, std::function<void(std::string)>)>
    m_onStateRequest;
};

/// See the file comment.
class GuardThread
{
public:
  virtual ~GuardThread() = default;

  /// Listens and starts the thread. Errors: Unavailable, InvalidArgument.
  /// \param aClock, aInFlight must outlive the thread. The count of aInFlight
  /// is non-zero while calls wait or run, answers are being written, or Drain
  /// has not been processed.
  static Result<std::unique_ptr<GuardThread>> Create(
    const GuardThreadSettings& aSettings,
    const Clock& aClock,
    IdleSignal& aInFlight,
    GuardEvents aEvents);

  /// Sets the upstream's announcement and the endpoint on which it listens.
  virtual void SetUpstream(const UpstreamAnnouncement& aUpstream,
                           const UpstreamEndpoint& aPlace) = 0;
  /// Sets the admission bounds of the service owner's configuration.
  virtual void SetBounds(const AdmissionBounds& aBounds) = 0;
  /// Sets what the service states about its cold upstreams.
  virtual void SetColdBounds(const ColdBounds& aBounds) = 0;
  /// An announcement of the upstream that is newer than the ones before.
  virtual void OnHeartbeat(const UpstreamHeartbeat& aHeartbeat) = 0;
  /// While true, refuses waiting and new calls because this data centre is
  /// being evacuated; running calls continue.
  virtual void SetEvacuated(bool aIsEvacuated) = 0;
  /// Uses the accounts of aView for the pool of tokens.
  virtual void Publish(std::shared_ptr<const View> aView) = 0;
  /// Adopts a confirmation if it is later than the last one, to tell its age to
  /// other nodes.
  virtual void Confirm(const Confirmation& aConfirmation) = 0;
  /// Refuses waiting and new calls with NotRun; running calls continue. Asks
  /// all peers to send no further calls and to close their links.
  virtual void Drain() = 0;
  /// Blocks until all peers have closed their links, at most for aLimit. Call
  /// after Drain. \return true when no link is open.
  virtual bool WaitForLinks(Duration aLimit) = 0;
  /// A snapshot of the load and the counters.
  virtual GuardStats Stats() const = 0;
  /// Ends the thread.
  virtual void Stop() = 0;
};

} // namespace tarragontray
