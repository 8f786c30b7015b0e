#include "process/Node.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>
#include <vector>

#include <sys/resource.h>

#include "base/Hash.h"
#include "connection/ZstdPatchCodec.h"
#include "process/ControlThread.h"
#include "process/FrontThread.h"
#include "process/GuardThread.h"
#include "process/Log.h"

namespace tarragontray {

namespace {

/// Longest wait for peers to close their links, so that an unresponsive peer
/// does not delay the shutdown.
constexpr Duration kLinkCloseLimit = std::chrono::seconds(2);

/// The descriptors that this process may open.
std::size_t
MaxDescriptors()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur);
}

CallerShares
SharesOf(const NodeSettings& aSettings)
{
  return DivideAmongListeners(aSettings.m_callers.m_memory,
                              MaxDescriptors(),
                              aSettings.m_callers.m_connections,
                              aSettings.m_frontThreads,
                              aSettings.m_adminAddresses.size());
}

class ThreadedNode final : public Node
{
public:
  ThreadedNode(const NodeSettings& aSettings,
               NodeDialects aDialects,
               const Clock& aClock)
    : m_settings(aSettings)
    , m_dialects(std::move(aDialects))
    , m_clock(aClock)
    , m_metrics(aSettings.m_vm, aSettings.m_dataCentre)
    , m_shares(SharesOf(aSettings))
  {
    const auto sinceEpoch = aClock.WallNow().time_since_epoch();
    m_incarnation = Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch)
        .count()));
  }

  ~ThreadedNode() override
  {
    // Traffic threads stop first, because they post batches to the control
    // thread.
    for (const auto& front : m_fronts) {
      front->Stop();
    }
    if (m_guard) {
      m_guard->Stop();
    }
    if (m_control) {
      m_control->Stop();
    }
  }

  Result<void> Start()
  {
    BOOST_OUTCOME_TRY(StartGuard());
    BOOST_OUTCOME_TRY(StartFronts());
    BOOST_OUTCOME_TRY(StartControl());
    Log(LogLevel::Info,
        "node",
        "Node started.",
        { { "vm", m_settings.m_vm.Value() },
          { "data_centre", m_settings.m_dataCentre.Value() },
          { "front", m_settings.m_frontAddress.ToString() },
          { "peer", m_settings.m_peerAddress.ToString() },
          { "admin", m_settings.m_adminAddresses.front().ToString() },
          { "incarnation", std::to_string(m_incarnation.Value()) } });
    return Success();
  }

  bool Drain() override
  {
    Log(LogLevel::Info, "node", "Node draining.");
    const MonotonicTime start = m_clock.Now();
    m_control->RefuseCallers();
    for (const auto& front : m_fronts) {
      front->Leave(start + m_settings.m_leaveNotice + m_settings.m_drainLimit);
    }
    // The upstream is healthy, so it continues to serve during the first half
    // of the notice, while callers switch to other nodes. Draining it at half
    // time leaves its running calls enough time to complete.
    std::this_thread::sleep_for(m_settings.m_leaveNotice / 2);
    m_control->Drain();
    m_guard->Drain();
    std::this_thread::sleep_for(m_settings.m_leaveNotice / 2);
    for (const auto& front : m_fronts) {
      front->Drain();
    }
    const MonotonicTime end =
      start + m_settings.m_leaveNotice + m_settings.m_drainLimit;
    // A request counts as in flight only from its first byte on, so that the
    // count may be zero while sessions still read. Sessions end after their
    // last answer.
    for (const auto& front : m_fronts) {
      front->WaitForSessions(TimeUntil(end));
    }
    m_guardCalls.WaitFor(TimeUntil(end));
    m_guard->WaitForLinks(std::min<Duration>(kLinkCloseLimit, TimeUntil(end)));
    // A call that arrived before its link was closed is still being refused.
    const bool isGuardIdle = m_guardCalls.WaitFor(TimeUntil(end));
    return isGuardIdle && m_frontCalls.InFlight() == 0;
  }

private:
  Duration TimeUntil(MonotonicTime aEnd) const
  {
    return std::max(aEnd - m_clock.Now(), Duration(0));
  }

  ListenerSettings Listener(const CallerBudgetSettings& aShare) const
  {
    ListenerSettings settings;
    settings.m_budget = aShare;
    settings.m_maxHeaderFields = m_settings.m_callers.m_headerFields;
    settings.m_maxPipelined = m_settings.m_callers.m_pipelined;
    settings.m_counters = m_callerLimits;
    return settings;
  }

  Result<void> StartGuard()
  {
    GuardThreadSettings settings;
    settings.m_address = m_settings.m_peerAddress;
    settings.m_dialect = m_dialects.m_upstreams;
    settings.m_admitsByObjective = m_settings.m_admitsByObjective;
    settings.m_cold = m_settings.m_cold;
    settings.m_vm = m_settings.m_vm;
    settings.m_incarnation = m_incarnation;
    settings.m_rates = m_settings.m_rates;
    GuardEvents events;
    events.m_onUsage = [this](UsageBatch aBatch) {
      m_control->Account(std::move(aBatch));
    };
    events.m_onUpstreamLeaving = [this](UpstreamInstanceId aInstance) {
      m_control->UpstreamIsLeaving(std::move(aInstance));
    };
    events.m_onStateRequest = [this](std::string aRequest,
                                     std::function<void(std::string)> aReply) {
      if (m_isRunning) {
        m_control->AnswerState(std::move(aRequest), std::move(aReply));
      }
    };
    BOOST_OUTCOME_TRY(
      m_guard,
      GuardThread::Create(settings, m_clock, m_guardCalls, std::move(events)));
    return Success();
  }

  Result<void> StartFronts()
  {
    for (std::uint32_t i = 0; i < m_settings.m_frontThreads; ++i) {
      FrontSettings settings;
      settings.m_vm = m_settings.m_vm;
      settings.m_dataCentre = m_settings.m_dataCentre;
      settings.m_region = m_settings.m_region;
      settings.m_incarnation = m_incarnation;
      settings.m_address = m_settings.m_frontAddress;
      settings.m_dialect = m_dialects.m_callers;
      settings.m_origin = m_settings.m_service;
      settings.m_retries = m_settings.m_retries;
      settings.m_count = m_settings.m_frontThreads;
      settings.m_rates = m_settings.m_rates;
      settings.m_freshness = m_settings.m_freshness;
      settings.m_onConfirmed = [this](const Confirmation& aConfirmation) {
        Confirm(aConfirmation);
      };
      settings.m_onNeedsRead = [this] {
        if (m_isRunning) {
          m_control->CheckRevision();
        }
      };
      settings.m_callers = Listener(m_shares.m_front);
      settings.m_index = i;
      settings.m_seed = Seed() + i + 1;
      BOOST_OUTCOME_TRY(auto front,
                        FrontThread::Create(settings,
                                            m_clock,
                                            m_metrics,
                                            m_frontCalls,
                                            [this](ObservationBatch aBatch) {
                                              m_control->Observe(
                                                std::move(aBatch));
                                            }));
      m_fronts.push_back(std::move(front));
    }
    return Success();
  }

  Result<void> StartControl()
  {
    ControlThreadSettings settings;
    MemberRecord& self = settings.m_core.m_self;
    self.m_vm = m_settings.m_vm;
    self.m_dataCentre = m_settings.m_dataCentre;
    self.m_cell =
      m_settings.m_cell.IsEmpty() ? m_settings.m_dataCentre : m_settings.m_cell;
    self.m_region = m_settings.m_region;
    self.m_peerAddress = m_settings.m_peerAddress;
    self.m_incarnation = m_incarnation;
    settings.m_core.m_seeds = m_settings.m_seeds;
    settings.m_peerAddress = m_settings.m_peerAddress;
    settings.m_adminAddresses = m_settings.m_adminAddresses;
    settings.m_admin = Listener(m_shares.m_admin);
    settings.m_dialects = m_dialects;
    settings.m_isRegistered = m_settings.m_isRegistered;
    settings.m_watchWait = m_settings.m_watchWait;
    settings.m_watchRest = m_settings.m_watchRest;
    settings.m_core.m_departureHistory = m_settings.m_departureHistory;
    settings.m_core.m_announcementLapse = m_settings.m_announcementLapse;
    settings.m_core.m_gossip = m_settings.m_gossip;
    settings.m_core.m_gossip.m_distribution.m_patches = MakeZstdPatchCodec();
    settings.m_core.m_moves = m_settings.m_moves;
    settings.m_core.m_hasBriefMoves = m_settings.m_hasBriefMoves;
    if (!m_settings.m_prefixes.empty()) {
      settings.m_core.m_prefixes = m_settings.m_prefixes;
    }
    settings.m_platform = m_settings.m_platform;
    settings.m_seed = Seed();
    BOOST_OUTCOME_TRY(
      m_control, ControlThread::Create(settings, m_clock, m_metrics, Ports()));
    m_isRunning = true;
    return Success();
  }

  TrafficPorts Ports()
  {
    TrafficPorts ports;
    ports.m_publish = [this](const std::shared_ptr<const View>& aView) {
      for (const auto& front : m_fronts) {
        front->Publish(aView);
      }
      m_guard->Publish(aView);
    };
    ports.m_setUpstream = [this](const UpstreamAnnouncement& aUpstream,
                                 const UpstreamEndpoint& aPlace) {
      m_guard->SetUpstream(aUpstream, aPlace);
    };
    ports.m_setBounds = [this](const AdmissionBounds& aBounds) {
      m_guard->SetBounds(aBounds);
    };
    ports.m_setColdBounds = [this](const ColdBounds& aBounds) {
      m_guard->SetColdBounds(aBounds);
    };
    ports.m_heartbeat = [this](const UpstreamHeartbeat& aHeartbeat) {
      m_guard->OnHeartbeat(aHeartbeat);
    };
    ports.m_setEvacuated = [this](bool aIsEvacuated) {
      m_guard->SetEvacuated(aIsEvacuated);
    };
    ports.m_confirm = [this](const Confirmation& aConfirmation) {
      Confirm(aConfirmation);
    };
    ports.m_guardStats = [this] { return m_guard->Stats(); };
    return ports;
  }

  /// Any thread.
  void Confirm(const Confirmation& aConfirmation)
  {
    m_guard->Confirm(aConfirmation);
    for (const auto& front : m_fronts) {
      front->Confirm(aConfirmation);
    }
  }

  std::uint64_t Seed() const
  {
    return StableHash(m_settings.m_vm.Value(), m_incarnation.Value());
  }

  NodeSettings m_settings;
  NodeDialects m_dialects;
  const Clock& m_clock;
  Metrics m_metrics;
  Incarnation m_incarnation;
  const CallerShares m_shares;
  const std::shared_ptr<CallerLimitCounters> m_callerLimits =
    std::make_shared<CallerLimitCounters>();
  IdleSignal m_guardCalls;
  IdleSignal m_frontCalls;
  std::unique_ptr<GuardThread> m_guard;
  std::vector<std::unique_ptr<FrontThread>> m_fronts;
  std::unique_ptr<ControlThread> m_control;
  std::atomic<bool> m_isRunning = false;
};

} // namespace

Result<std::unique_ptr<Node>>
Node::Create(const NodeSettings& aSettings,
             NodeDialects aDialects,
             const Clock& aClock)
{
  auto node =
    std::make_unique<ThreadedNode>(aSettings, std::move(aDialects), aClock);
  BOOST_OUTCOME_TRY(node->Start());
  return std::unique_ptr<Node>(std::move(node));
}

} // namespace tarragontray
