#include "process/ControlThread.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Random.h"
#include "connection/DatagramCodec.h"
#include "connection/HttpServer.h"
#include "connection/PeerLink.h"
#include "connection/Sockets.h"
#include "process/Log.h"
#include "process/PlatformLoop.h"
#include "process/StateChangeLog.h"
#include "process/StatusJson.h"
#include "process/StatusPage.h"
#include "process/ThreadLoop.h"
#include "version/ConfigurationJson.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// The largest object takes 3.4 s from a peer that serves four children of a
/// distribution tree over a 10 Mbit/s link. The link's own health check detects
/// an unresponsive peer much sooner.
constexpr Duration kPullTimeout = std::chrono::seconds(6);
/// Bytes of the IP and UDP headers of one datagram.
constexpr std::uint64_t kDatagramOverhead = 28;
/// Delay after a socket error, so that a persistent error does not make the
/// thread spin.
constexpr Duration kReceiveErrorDelay = std::chrono::milliseconds(10);
/// An upstream discards an acknowledgement that takes longer than 1 s.
constexpr Duration kAcknowledgementLimit = std::chrono::milliseconds(900);
constexpr char kPart[] = "control";

/// Keeps a timer in a set while a coroutine waits for it.
class Waiting
{
public:
  Waiting(std::set<asio::steady_timer*>& aSet, asio::steady_timer& aTimer)
    : m_set(aSet)
    , m_timer(aTimer)
  {
    m_set.insert(&m_timer);
  }
  Waiting(const Waiting&) = delete;
  Waiting& operator=(const Waiting&) = delete;
  ~Waiting() { m_set.erase(&m_timer); }

private:
  std::set<asio::steady_timer*>& m_set;
  asio::steady_timer& m_timer;
};

class ControlLoop final : public ControlThread
{
public:
  ControlLoop(const ControlThreadSettings& aSettings,
              const Clock& aClock,
              Metrics& aMetrics,
              TrafficPorts aTraffic)
    : m_settings(aSettings)
    , m_clock(aClock)
    , m_metrics(aMetrics)
    , m_traffic(std::move(aTraffic))
    , m_random(aSettings.m_seed)
    , m_loop("control")
    , m_socket(m_loop.Context())
    , m_timer(m_loop.Context())
    , m_links(m_loop.Context(), aClock, LinkSettings{})
  {
  }

  ~ControlLoop() override { Stop(); }

  Result<void> Start()
  {
    BOOST_OUTCOME_TRY(m_core,
                      ControlCore::Create(m_settings.m_core,
                                          *m_settings.m_dialects.m_decoder,
                                          m_random));
    BOOST_OUTCOME_TRY(Bind());
    for (const NetworkAddress& address : m_settings.m_adminAddresses) {
      HttpServerSettings admin;
      admin.m_address = address;
      admin.m_budget = m_settings.m_admin.m_budget;
      admin.m_maxHeaderFields = m_settings.m_admin.m_maxHeaderFields;
      admin.m_maxPipelinedBytes = m_settings.m_admin.m_maxPipelined.Value();
      admin.m_counters = m_settings.m_admin.m_counters;
      admin.m_onLimited = LogLimited;
      BOOST_OUTCOME_TRY(
        auto server,
        HttpServer::Create(
          m_loop.Context(), admin, [this](HttpRequestParts aRequest) {
            return ServeAdmin(std::move(aRequest));
          }));
      m_admins.push_back(std::move(server));
    }
    BOOST_OUTCOME_TRY(auto platforms, MakePlatforms());
    BOOST_OUTCOME_TRY(
      m_platform,
      PlatformLoop::Create(
        m_loop.Context(),
        LoopSettings(),
        std::move(platforms),
        m_clock,
        *m_core,
        m_random,
        [this](ControlActions aActions) { Handle(std::move(aActions)); },
        [this](BootTime aAsOf) { Confirm(aAsOf); }));
    asio::co_spawn(m_loop.Context(), ReceiveLoop(), asio::detached);
    m_loop.Post([this] { Handle(m_core->OnTick(Now())); });
    m_loop.Start();
    return Success();
  }

  void UpstreamIsLeaving(UpstreamInstanceId aInstance) override
  {
    m_loop.Post([this, instance = std::move(aInstance)] {
      UpstreamReport report;
      report.m_place.m_instance = instance;
      report.m_isLeave = true;
      Handle(m_core->OnUpstreamReport(report, Now()));
    });
  }

  void Observe(ObservationBatch aBatch) override
  {
    m_loop.Post(
      [this, batch = std::move(aBatch)] { m_core->OnObservations(batch); });
  }

  void Account(UsageBatch aBatch) override
  {
    m_loop.Post([this, batch = std::move(aBatch)] { m_core->OnUsage(batch); });
  }

  void AnswerState(std::string aRequest,
                   std::function<void(std::string)> aReply) override
  {
    m_loop.Post([this, bytes = std::move(aRequest), reply = std::move(aReply)] {
      const auto request = DecodePullRequest(bytes, "peer");
      if (!request) {
        Log(LogLevel::Warning, kPart, "Pull refused.", request.error());
        return;
      }
      std::string answer =
        EncodePullAnswer(m_core->OnPull(request.value(), Now()));
      m_received += bytes.size();
      m_sent += answer.size();
      reply(std::move(answer));
    });
  }

  void CheckRevision() override
  {
    m_loop.Post([this] { m_platform->CheckRevisionNow(); });
  }

  void RefuseCallers() override
  {
    m_loop.Post([this] { m_isDraining = true; });
  }

  void Drain() override
  {
    m_loop.Post([this] {
      m_isDraining = true;
      Handle(m_core->Leave(Now()));
    });
  }

  void Stop() override { m_loop.Stop(); }

private:
  Times Now() const { return { m_clock.Now(), m_clock.WallNow() }; }

  Result<std::vector<std::unique_ptr<Platform>>> MakePlatforms()
  {
    std::vector<std::unique_ptr<Platform>> platforms;
    for (const NetworkAddress& address : m_settings.m_platform) {
      PlatformSettings settings;
      settings.m_address = address;
      settings.m_counters = m_platformCounters;
      BOOST_OUTCOME_TRY(auto platform,
                        m_settings.m_dialects.m_makePlatform(
                          m_loop.Context(), std::move(settings)));
      platforms.push_back(std::move(platform));
    }
    return platforms;
  }

  PlatformLoopSettings LoopSettings()
  {
    PlatformLoopSettings settings;
    settings.m_prefixes = m_settings.m_core.m_prefixes;
    settings.m_watchWait = m_settings.m_watchWait;
    settings.m_watchRest = m_settings.m_watchRest;
    if (m_settings.m_isRegistered) {
      settings.m_registered = m_settings.m_core.m_self;
    }
    return settings;
  }

  Result<void> Bind()
  {
    const auto endpoint = EndpointOf<udp>(m_settings.m_peerAddress);
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
      m_socket.bind(endpoint, error);
    }
    if (error) {
      return Error(ErrorCode::Unavailable,
                   "control.bind",
                   m_settings.m_peerAddress.ToString(),
                   error.message());
    }
    return Success();
  }

  asio::awaitable<void> ReceiveLoop()
  {
    std::array<char, 65536> buffer{};
    udp::endpoint from;
    while (true) {
      const auto [error, size] = co_await m_socket.async_receive_from(
        asio::buffer(buffer), from, kAwait);
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        co_await DelayAfterError();
        continue;
      }
      m_received += size + kDatagramOverhead;
      ReceiveDatagram(std::string_view(buffer.data(), size), AddressOf(from));
    }
  }

  asio::awaitable<void> DelayAfterError()
  {
    asio::steady_timer delay(m_loop.Context(), kReceiveErrorDelay);
    co_await delay.async_wait(kAwait);
  }

  void ReceiveDatagram(std::string_view aBytes, const NetworkAddress& aFrom)
  {
    const auto datagram = DecodeDatagram(aBytes, aFrom.ToString());
    if (!datagram) {
      ++m_badDatagrams;
      Log(LogLevel::Debug, kPart, "Datagram dropped.", datagram.error());
      return;
    }
    Handle(m_core->OnDatagram(datagram.value(), aFrom, Now()));
  }

  void Handle(ControlActions aActions)
  {
    // Before anything else, since an upstream that leaves or is evacuated gets
    // no further call.
    if (aActions.m_isEvacuated) {
      m_traffic.m_setEvacuated(*aActions.m_isEvacuated);
    }
    // Before the upstream, so that calls to another process are limited from
    // the first one on.
    if (aActions.m_heartbeat) {
      m_traffic.m_heartbeat(*aActions.m_heartbeat);
    }
    if (aActions.m_upstream) {
      PublishUpstream(*aActions.m_upstream);
    }
    for (const OutgoingDatagram& outgoing : aActions.m_send) {
      Send(outgoing);
    }
    if (aActions.m_pull) {
      asio::co_spawn(
        m_loop.Context(), Pull(std::move(*aActions.m_pull)), asio::detached);
    }
    if (aActions.m_view || aActions.m_movesChanged) {
      m_stateChanges.LogChanges(m_core->Status(m_clock.WallNow()));
    }
    if (aActions.m_view) {
      m_traffic.m_publish(std::move(aActions.m_view));
    }
    if (aActions.m_bounds) {
      m_traffic.m_setBounds(*aActions.m_bounds);
    }
    if (aActions.m_coldBounds) {
      m_traffic.m_setColdBounds(*aActions.m_coldBounds);
    }
    m_platform->Write(aActions.m_outcomes, aActions.m_usage);
    m_platform->Check();
    LogHistory();
    WakeWaiting();
    Schedule();
  }

  void Confirm(BootTime aAsOf)
  {
    const std::optional<Revision> held = m_core->HeldAccountsRevision();
    if (held && m_traffic.m_confirm) {
      m_traffic.m_confirm({ aAsOf, *held });
    }
  }

  void LogHistory()
  {
    if (m_core->IsDepartureHistoryKnown() &&
        !std::exchange(m_isHistoryLogged, true)) {
      Log(LogLevel::Info,
          kPart,
          "Departed upstreams known.",
          { { "departed",
              std::to_string(m_core->Departed().Processes().size()) } });
    }
  }

  /// Ends the waits of WaitUntilRecorded(), which check their condition again.
  void WakeWaiting()
  {
    for (asio::steady_timer* waiting : m_waiting) {
      waiting->cancel();
    }
  }

  void Send(const OutgoingDatagram& aOutgoing)
  {
    const std::string bytes = EncodeDatagram(aOutgoing.m_datagram);
    const auto to = EndpointOf<udp>(aOutgoing.m_to);
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), to, 0, ignored);
    m_sent += bytes.size() + kDatagramOverhead;
  }

  asio::awaitable<void> Pull(OutgoingPull aPull)
  {
    const MonotonicTime start = m_clock.Now();
    std::string request = EncodePullRequest(aPull.m_request);
    m_sent += request.size();
    const auto link = m_links.Get(aPull.m_peer);
    const Exchange<StateReply> exchange =
      co_await link->Fetch(std::move(request), kPullTimeout);
    // Pulls are too rare to justify keeping the connection open.
    link->Close();
    const auto* reply = std::get_if<StateReply>(&exchange);
    if (reply == nullptr) {
      Log(LogLevel::Info,
          kPart,
          "Pull failed.",
          { { "peer", aPull.m_peer.ToString() },
            { "took_ms", Milliseconds(m_clock.Now() - start) } });
      Handle(m_core->OnPullFailed(Now()));
      co_return;
    }
    m_received += reply->m_bytes.size();
    const auto answer =
      DecodePullAnswer(reply->m_bytes, aPull.m_peer.ToString());
    if (!answer) {
      Log(LogLevel::Warning, kPart, "Pull answer dropped.", answer.error());
      Handle(m_core->OnPullFailed(Now()));
      co_return;
    }
    LogPull(aPull.m_peer, answer.value(), m_clock.Now() - start);
    Handle(m_core->OnPullAnswer(answer.value(), Now()));
  }

  static void LogPull(const NetworkAddress& aPeer,
                      const PullAnswer& aAnswer,
                      Duration aTook)
  {
    std::size_t bytes = 0;
    for (const Document& document : aAnswer.m_documents) {
      bytes += document.m_body.size();
    }
    // Pulls that bring only member records are routine and logged at debug
    // level.
    const bool isNotable = aAnswer.m_busy || !aAnswer.m_documents.empty();
    Log(isNotable ? LogLevel::Info : LogLevel::Debug,
        kPart,
        "Pulled.",
        { { "peer", aPeer.ToString() },
          { "busy", aAnswer.m_busy ? "yes" : "no" },
          { "documents", std::to_string(aAnswer.m_documents.size()) },
          { "bytes", std::to_string(bytes) },
          { "members", std::to_string(aAnswer.m_members.size()) },
          { "took_ms", Milliseconds(aTook) } });
  }

  void Schedule()
  {
    const MonotonicTime next = m_core->NextTick();
    if (m_scheduled && *m_scheduled <= next) {
      return;
    }
    m_scheduled = next;
    m_timer.expires_after(std::max(next - m_clock.Now(), Duration(0)));
    m_timer.async_wait([this](const auto& aError) {
      if (!aError) {
        m_scheduled.reset();
        Handle(m_core->OnTick(Now()));
      }
    });
  }

  static void LogLimited(const CallerLimitCounters& aCounters)
  {
    const auto text = [](const std::atomic<std::uint64_t>& aCount) {
      return std::to_string(aCount.load());
    };
    Log(LogLevel::Warning,
        kPart,
        "Callers limited.",
        { { "sessions", text(aCounters.m_sessions) },
          { "held_bytes", text(aCounters.m_heldBytes) },
          { "closed_for_memory", text(aCounters.m_closedForMemory) },
          { "refused_for_memory", text(aCounters.m_refusedForMemory) },
          { "oversized", text(aCounters.m_oversized) },
          { "slow", text(aCounters.m_slow) },
          { "surplus_sessions", text(aCounters.m_surplusSessions) } });
  }

  asio::awaitable<HttpAnswerParts> ServeAdmin(HttpRequestParts aRequest)
  {
    const auto request = m_settings.m_dialects.m_control->Read(aRequest);
    if (!request) {
      co_return Answer(aRequest);
    }
    if (!*request) {
      Log(LogLevel::Warning, kPart, "Announcement refused.", request->error());
      co_return TextAnswer(400, request->error().Message() + "\n");
    }
    if (const auto* report = std::get_if<UpstreamReport>(&request->value())) {
      co_return co_await Acknowledge(*report);
    }
    const bool isReady = m_core->IsReady() && !m_isDraining;
    co_return TextAnswer(isReady ? 200 : 503,
                         isReady ? "ready\n" : "not ready\n");
  }

  /// Acknowledges a report once what it announces is recorded outside of this
  /// process. An upstream that leaves gets no further call in any case.
  asio::awaitable<HttpAnswerParts> Acknowledge(UpstreamReport aReport)
  {
    Handle(m_core->OnUpstreamReport(aReport, Now()));
    const std::optional<UpstreamProcess> departure = DepartureIn(aReport);
    if (departure && !co_await WaitUntilRecorded(*departure)) {
      Log(LogLevel::Warning,
          kPart,
          "Departure not recorded.",
          { { "instance", departure->m_instance.Value() },
            { "waited_ms", Milliseconds(kAcknowledgementLimit) } });
      co_return TextAnswer(503, "the departure is not recorded yet\n");
    }
    co_return m_settings.m_dialects.m_control->Acknowledge();
  }

  /// \return whether the departure was recorded within kAcknowledgementLimit.
  asio::awaitable<bool> WaitUntilRecorded(UpstreamProcess aProcess)
  {
    const MonotonicTime end = m_clock.Now() + kAcknowledgementLimit;
    while (!m_core->IsDepartureRecorded(aProcess)) {
      const Duration left = end - m_clock.Now();
      if (left <= Duration::zero()) {
        co_return false;
      }
      asio::steady_timer changed(m_loop.Context(), left);
      const Waiting waiting(m_waiting, changed);
      co_await changed.async_wait(kAwait);
    }
    co_return true;
  }

  HttpAnswerParts Answer(const HttpRequestParts& aRequest)
  {
    if (aRequest.m_method != "GET") {
      return TextAnswer(405, "method not allowed\n");
    }
    if (aRequest.m_target == "/status") {
      const ControlStatus status = m_core->Status(m_clock.WallNow());
      return TextAnswer(200,
                        StatusJson(status,
                                   ControlStatsOf(status),
                                   m_traffic.m_guardStats(),
                                   m_isDraining) +
                          "\n",
                        "application/json");
    }
    if (aRequest.m_target == "/metrics") {
      m_metrics.Set(ControlStatsOf(m_core->Status(m_clock.WallNow())));
      m_metrics.Set(m_traffic.m_guardStats(), m_clock.BootNow());
      if (m_settings.m_admin.m_counters) {
        m_metrics.Set(*m_settings.m_admin.m_counters);
      }
      return TextAnswer(200, m_metrics.Text(), "text/plain; version=0.0.4");
    }
    if (aRequest.m_target == "/health") {
      return TextAnswer(200, "ok\n");
    }
    if (aRequest.m_target == "/") {
      return TextAnswer(
        200, std::string(StatusPage()), "text/html; charset=utf-8");
    }
    return TextAnswer(404, "not found\n");
  }

  void PublishUpstream(const UpstreamChange& aChange)
  {
    const UpstreamAnnouncement& announcement = aChange.m_announcement;
    if (aChange.m_hasLapsed) {
      Log(LogLevel::Warning, kPart, "Upstream announcement expired.");
    } else {
      Log(LogLevel::Info,
          kPart,
          "Upstream announced.",
          { { "service", announcement.m_service.m_name.Value() },
            { "version", announcement.m_version.Value() },
            { "instance", aChange.m_place.m_instance.Value() },
            { "number", std::to_string(aChange.m_number.Value()) },
            { "state", std::string(Name(announcement.m_state)) } });
    }
    m_traffic.m_setUpstream(announcement, aChange.m_place);
  }

  ControlStats ControlStatsOf(const ControlStatus& aStatus) const
  {
    ControlStats stats;
    stats.m_processorTime = m_loop.ProcessorTime();
    stats.m_sent = ByteCount(m_sent);
    stats.m_received = ByteCount(m_received);
    stats.m_platformCalls =
      CallCount(m_platformCounters->m_reads + m_platformCounters->m_lists +
                m_platformCounters->m_writes + m_platformCounters->m_watches);
    stats.m_platformResent = CallCount(m_platformCounters->m_resent);
    stats.m_badDatagrams = CallCount(m_badDatagrams);
    stats.m_evacuated = aStatus.m_evacuated.size();
    for (const MemberRecord& member : aStatus.m_members) {
      stats.m_membersAlive += member.m_state == NodeState::Alive ? 1 : 0;
    }
    for (const AccountStatus& account : aStatus.m_accounts) {
      stats.m_configurations += account.m_inForce ? 1 : 0;
      stats.m_rejected += account.m_pending && account.m_pending->m_reason ==
                                                 PendingReason::Rejected
                            ? 1
                            : 0;
    }
    return stats;
  }

  ControlThreadSettings m_settings;
  const Clock& m_clock;
  Metrics& m_metrics;
  TrafficPorts m_traffic;
  const std::shared_ptr<PlatformCounters> m_platformCounters =
    std::make_shared<PlatformCounters>();
  SeededRandom m_random;
  /// The waits that end early when a departure may have been recorded. Outlives
  /// the coroutines of m_loop.
  std::set<asio::steady_timer*> m_waiting;
  ThreadLoop m_loop;

  // After Start, accessed on the loop's thread only.
  std::unique_ptr<ControlCore> m_core;
  StateChangeLog m_stateChanges;
  std::unique_ptr<PlatformLoop> m_platform;
  std::vector<std::shared_ptr<HttpServer>> m_admins;
  udp::socket m_socket;
  asio::steady_timer m_timer;
  std::optional<MonotonicTime> m_scheduled;
  PeerLinks m_links;
  bool m_isHistoryLogged = false;
  bool m_isDraining = false;
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::uint64_t m_badDatagrams = 0;
};

} // namespace

Result<std::unique_ptr<ControlThread>>
ControlThread::Create(const ControlThreadSettings& aSettings,
                      const Clock& aClock,
                      Metrics& aMetrics,
                      TrafficPorts aTraffic)
{
  auto control = std::make_unique<ControlLoop>(
    aSettings, aClock, aMetrics, std::move(aTraffic));
  BOOST_OUTCOME_TRY(control->Start());
  return std::unique_ptr<ControlThread>(std::move(control));
}

} // namespace tarragontray
