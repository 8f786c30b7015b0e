/// \file
/// The control thread. It connects the decisions of ControlCore to the network:
/// gossip over UDP, pulls over TCP, the platform's API, and an HTTP endpoint
/// for operators and for the upstream's announcements.
///
///     auto control = ControlThread::Create(settings, clock, metrics, traffic);
///     control.value()->Drain();
///
/// Thread safety: every public method may be called from any thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "process/ControlCore.h"
#include "process/FreshnessLease.h"
#include "process/ListenerSettings.h"
#include "process/Metrics.h"
#include "process/NodeDialects.h"
#include "process/TrafficReport.h"

namespace tarragontray {

/// Settings of the control thread.
struct ControlThreadSettings
{
  ControlSettings m_core;
  /// Receives gossip datagrams.
  NetworkAddress m_peerAddress;
  /// HTTP addresses for operators, upstream announcements and readiness checks.
  std::vector<NetworkAddress> m_adminAddresses;
  /// For each admin address. Its counters, if set, are shown as metrics.
  ListenerSettings m_admin;
  /// Addresses of the platform, in order of preference.
  std::vector<NetworkAddress> m_platform;
  NodeDialects m_dialects;
  /// Whether this node registers itself with the platform, which is how nodes
  /// find each other without seeds.
  bool m_isRegistered = false;
  /// How long one watch request waits for a change.
  Duration m_watchWait = std::chrono::seconds(25);
  /// Delay from a change to the next watch request.
  Duration m_watchRest{ 0 };
  std::uint64_t m_seed = 0;
};

/// Callbacks from the control thread to the traffic threads; called on the
/// control thread.
struct TrafficPorts
{
  std::function<void(std::shared_ptr<const View>)> m_publish;
  std::function<void(const UpstreamAnnouncement&, const UpstreamEndpoint&)>
    m_setUpstream;
  std::function<void(const AdmissionBounds&)> m_setBounds;
  std::function<void(const ColdBounds&)> m_setColdBounds;
  std::function<void(const UpstreamHeartbeat&)> m_heartbeat;
  /// Whether the guard refuses all calls because of an evacuation.
  std::function<void(bool)> m_setEvacuated;
  std::function<GuardStats()> m_guardStats;
  /// The store has confirmed the configuration with accounts. May be empty.
  std::function<void(const Confirmation&)> m_confirm;
};

/// See the file comment.
class ControlThread
{
public:
  virtual ~ControlThread() = default;

  /// Binds the addresses and starts the thread. Errors: Unavailable when an
  /// address can't be bound, InvalidArgument.
  /// \param aClock, aMetrics must outlive the thread.
  static Result<std::unique_ptr<ControlThread>> Create(
    const ControlThreadSettings& aSettings,
    const Clock& aClock,
    Metrics& aMetrics,
    TrafficPorts aTraffic);

  /// Adds outcomes of attempts to the evidence of running moves.
  virtual void Observe(ObservationBatch aBatch) = 0;
  /// Adds usage of this node's upstream to the ledger.
  virtual void Account(UsageBatch aBatch) = 0;
  /// Records that the upstream with this instance id has stated in an answer
  /// that it is leaving, and announces that to the peers. Any thread.
  virtual void UpstreamIsLeaving(UpstreamInstanceId aInstance) = 0;
  /// Answers an encoded pull request from a peer. aReply is called on the
  /// control thread, and not at all when the request does not decode.
  virtual void AnswerState(std::string aRequest,
                           std::function<void(std::string)> aReply) = 0;
  /// Reads the store's revision, whatever the rank of this node.
  virtual void CheckRevision() = 0;
  /// Readiness checks fail from now on, so that no new callers are sent here.
  virtual void RefuseCallers() = 0;
  /// Announces to the peers that this node is leaving. Implies RefuseCallers.
  virtual void Drain() = 0;
  /// Ends the thread.
  virtual void Stop() = 0;
};

} // namespace tarragontray
