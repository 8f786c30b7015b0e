/// \file
/// The traffic thread in front of this VM's upstream: peer links in, HTTP to
/// the upstream out, with the guard's decisions between them.
///
///     auto guard = GuardThread::Create(settings, clock, events);
///     guard.value()->SetUpstream(announcement, address);
///     guard.value()->Drain();
///
/// Thread safety: every public method from any thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "process/IdleSignal.h"
#include "process/MemberRecord.h"
#include "process/Metrics.h"
#include "process/TrafficReport.h"
#include "request/AdmissionPolicy.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Settings of the guard thread.
struct GuardThreadSettings
{
  /// TCP, for peer links.
  NetworkAddress m_address;
  VmId m_vm;
  Incarnation m_incarnation;
  /// How the upstream is spoken to; never null.
  std::shared_ptr<const UpstreamDialect> m_dialect;
  /// Admission by objectives in place of fair shares of accounts.
  bool m_admitsByObjective = false;
  /// Peer links that may be open at once.
  std::size_t m_maxLinks = 4096;
};

/// What the guard thread tells the control part; called on its thread.
struct GuardEvents
{
  std::function<void(UsageBatch)> m_onUsage;
  /// A peer asks for state. The answer goes to the callback, from any thread.
  std::function<void(std::string, std::function<void(std::string)>)>
    m_onStateRequest;
};

/// See the file comment.
class GuardThread
{
public:
  virtual ~GuardThread() = default;

  /// Listens and starts the thread. Errors: Unavailable, InvalidArgument.
  /// \param aClock, aInFlight must outlive the thread. aInFlight counts the
  /// calls that wait or run.
  static Result<std::unique_ptr<GuardThread>> Create(
    const GuardThreadSettings& aSettings,
    const Clock& aClock,
    IdleSignal& aInFlight,
    GuardEvents aEvents);

  /// What the upstream announced of itself, and where it listens.
  virtual void SetUpstream(const UpstreamAnnouncement& aUpstream,
                           const UpstreamEndpoint& aPlace) = 0;
  /// Bounds of admission, from the configuration of the service's owner.
  virtual void SetBounds(const AdmissionBounds& aBounds) = 0;
  /// Refuses waiting and new calls with NotRun; running ones go on. Tells all
  /// peers to send nothing more and to close their links.
  virtual void Drain() = 0;
  /// After Drain: sleeps until the peers have closed their links, at most
  /// aLimit.
  virtual bool WaitForLinks(Duration aLimit) = 0;
  virtual GuardStats Figures() const = 0;
  /// Ends the thread.
  virtual void Stop() = 0;
};

} // namespace tarragontray
