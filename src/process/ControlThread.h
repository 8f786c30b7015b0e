/// \file
/// The control thread: UDP gossip, pulls, the platform, operators' HTTP and
/// the upstream's announcements, around ControlCore's decisions.
///
///     auto control = ControlThread::Create(settings, clock, metrics, traffic);
///     control.value()->Drain();
///
/// Thread safety: every public method from any thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "process/ControlCore.h"
#include "process/Metrics.h"
#include "process/NodeDialects.h"
#include "process/TrafficReport.h"

namespace tarragontray {

struct ControlThreadSettings
{
  ControlSettings m_core;
  NetworkAddress m_peerAddress;
  /// Where operators, upstreams and readiness checks are answered.
  std::vector<NetworkAddress> m_adminAddresses;
  std::vector<NetworkAddress> m_platform;
  NodeDialects m_dialects;
  /// Nodes find each other through the platform, not by seeds.
  bool m_isRegistered = false;
  Duration m_watchWait = std::chrono::seconds(25);
  Duration m_watchRest{ 0 };
  std::uint64_t m_seed = 0;
};

/// Where control reaches traffic; called on the control thread.
struct TrafficPorts
{
  std::function<void(std::shared_ptr<const View>)> m_publish;
  std::function<void(const UpstreamAnnouncement&, const UpstreamEndpoint&)>
    m_setUpstream;
  std::function<void(const AdmissionBounds&)> m_setBounds;
  std::function<GuardStats()> m_guardStats;
};

/// See the file comment.
class ControlThread
{
public:
  virtual ~ControlThread() = default;

  /// Binds and starts the thread. Errors: Unavailable, InvalidArgument.
  /// \param aClock, aMetrics must outlive the thread.
  static Result<std::unique_ptr<ControlThread>> Create(
    const ControlThreadSettings& aSettings,
    const Clock& aClock,
    Metrics& aMetrics,
    TrafficPorts aTraffic);

  virtual void Observe(ObservationBatch aBatch) = 0;
  virtual void Account(UsageBatch aBatch) = 0;
  /// A peer pulls state; aReply is called on the control thread.
  virtual void AnswerState(std::string aRequest,
                           std::function<void(std::string)> aReply) = 0;
  /// From now on readiness checks hear that this node takes no new callers.
  virtual void RefuseCallers() = 0;
  /// Tells the peers that this node leaves. Implies RefuseCallers.
  virtual void Drain() = 0;
  virtual void Stop() = 0;
};

} // namespace tarragontray
