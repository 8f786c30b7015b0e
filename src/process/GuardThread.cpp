#include "process/GuardThread.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "connection/FrameStream.h"
#include "connection/HttpClient.h"
#include "connection/PeerLink.h"
#include "connection/Sockets.h"
#include "connection/UpstreamPool.h"
#include "process/AccountPool.h"
#include "process/Log.h"
#include "process/ThreadLoop.h"
#include "request/FairAdmission.h"
#include "request/Guard.h"
#include "request/ObjectiveAdmission.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kUsageInterval = std::chrono::seconds(1);
/// An upstream answers within milliseconds unless it is away.
constexpr Duration kHealthTimeout = std::chrono::seconds(1);
constexpr ByteCount kMaxHealthBody{ 64U << 10U };
constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kLastSuccess = 299;
constexpr char kPart[] = "guard";
/// Tokens that arrive later from another data centre have expired.
constexpr Duration kTransferTimeout = std::chrono::milliseconds(150);

class GuardLoop final : public GuardThread
{
public:
  GuardLoop(const GuardThreadSettings& aSettings,
            const Clock& aClock,
            IdleSignal& aInFlight,
            GuardEvents aEvents,
            Guard aGuard)
    : m_settings(aSettings)
    , m_clock(aClock)
    , m_inFlight(aInFlight)
    , m_events(std::move(aEvents))
    , m_guard(std::move(aGuard))
    , m_loop("guard")
    , m_acceptor(m_loop.Context())
    , m_tick(m_loop.Context())
    , m_usageTimer(m_loop.Context())
    , m_pool(
        UpstreamPool::Create(m_loop.Context(), aClock, aSettings.m_dialect))
    , m_accountPool(aSettings.m_rates, aSettings.m_incarnation)
    , m_peers(m_loop.Context(), aClock, LinkSettings{})
  {
  }

  ~GuardLoop() override { Stop(); }

  Result<void> Listen()
  {
    BOOST_OUTCOME_TRY(tarragontray::Listen(
      m_acceptor,
      { .m_address = m_settings.m_address, .m_step = "guard.listen" }));
    asio::co_spawn(m_loop.Context(), AcceptLoop(), asio::detached);
    m_loop.Start();
    return Success();
  }

  void SetUpstream(const UpstreamAnnouncement& aUpstream,
                   const UpstreamEndpoint& aPlace) override
  {
    m_loop.Post([this, aUpstream, aPlace] {
      if (aPlace != m_place) {
        m_guard.ResetNotice();
      }
      m_place = aPlace;
      m_pool->SetEndpoint(aPlace);
      m_version = aUpstream.m_version;
      Execute(m_guard.SetUpstream(aUpstream, m_clock.Now()));
    });
  }

  void SetBounds(const AdmissionBounds& aBounds) override
  {
    m_loop.Post([this, aBounds] { m_guard.SetBounds(aBounds); });
  }

  void SetColdBounds(const ColdBounds& aBounds) override
  {
    m_loop.Post([this, aBounds] {
      Execute(m_guard.SetColdBounds(aBounds, m_clock.Now()));
    });
  }

  void OnHeartbeat(const UpstreamHeartbeat& aHeartbeat) override
  {
    m_loop.Post([this, aHeartbeat] {
      Execute(m_guard.OnHeartbeat(aHeartbeat, m_clock.Now()));
    });
  }

  void SetEvacuated(bool aIsEvacuated) override
  {
    m_loop.Post([this, aIsEvacuated] {
      Execute(m_guard.SetEvacuated(aIsEvacuated, m_clock.Now()));
    });
  }

  void Publish(std::shared_ptr<const View> aView) override
  {
    m_loop.Post([this, accounts = aView->m_accounts] {
      m_accounts = accounts;
      if (m_accounts) {
        m_accountPool.SetAccounts(m_accounts->m_rates,
                                  m_accounts->m_knownNodes,
                                  m_accounts->m_dataCentres,
                                  m_clock.BootNow());
      } else {
        m_accountPool.SetAccounts({}, 1, 1, m_clock.BootNow());
      }
    });
  }

  void Confirm(const Confirmation& aConfirmation) override
  {
    m_loop.Post([this, aConfirmation] {
      if (!m_confirmation || aConfirmation.m_asOf > m_confirmation->m_asOf) {
        m_confirmation = aConfirmation;
      }
    });
  }

  void Drain() override
  {
    // Counts as in flight until the loop has run the task.
    m_inFlight.Begin();
    m_loop.Post([this] {
      m_isLeaving = true;
      for (const auto& [link, stream] : m_links) {
        stream->Send(LinkLeaving{});
      }
      Execute(m_guard.Drain(m_clock.Now()));
      m_inFlight.End();
    });
  }

  bool WaitForLinks(Duration aLimit) override
  {
    return m_openLinks.WaitFor(aLimit);
  }

  GuardStats Stats() const override
  {
    const std::lock_guard lock(m_statsMutex);
    return m_stats;
  }

  void Stop() override { m_loop.Stop(); }

private:
  asio::awaitable<void> AcceptLoop()
  {
    while (m_acceptor.is_open()) {
      tcp::socket socket = co_await Accept(m_acceptor);
      if (!socket.is_open() || m_links.size() >= m_settings.m_maxLinks) {
        continue;
      }
      boost::system::error_code ignored;
      socket.set_option(asio::socket_base::keep_alive(true), ignored);
      const tcp::endpoint peer = socket.remote_endpoint(ignored);
      const CallerLink link(++m_lastLink);
      auto stream =
        FrameStream::Create(std::move(socket), AddressOf(peer).ToString());
      stream->OnWriting([this](bool aIsWriting) {
        m_writes += aIsWriting ? 1 : -1;
        UpdateBusy();
      });
      m_links.emplace(link, stream);
      m_openLinks.Begin();
      if (m_isLeaving) {
        stream->Send(LinkLeaving{});
      }
      asio::co_spawn(
        m_loop.Context(), ReceiveLoop(link, std::move(stream)), asio::detached);
    }
  }

  asio::awaitable<void> ReceiveLoop(CallerLink aLink,
                                    std::shared_ptr<FrameStream> aStream)
  {
    while (true) {
      Result<PeerMessage> message = co_await aStream->Receive();
      if (!message) {
        if (message.error().Code() != ErrorCode::Closed) {
          Log(LogLevel::Warning, kPart, "Link closed.", message.error());
        }
        break;
      }
      std::visit(
        [&](auto& aBody) { HandleMessage(aLink, *aStream, std::move(aBody)); },
        message.value());
    }
    m_links.erase(aLink);
    m_openLinks.End();
    Execute(m_guard.LinkClosed(aLink, m_clock.Now()));
  }

  void HandleMessage(CallerLink aLink, FrameStream& /*aStream*/, Call aCall)
  {
    Execute(m_guard.Submit(std::move(aCall), aLink, m_clock.Now()));
  }
  void HandleMessage(CallerLink aLink,
                     FrameStream& /*aStream*/,
                     const BodyData& aData)
  {
    Execute(
      m_guard.BodyArrived(aLink, aData.m_id, aData.m_bytes, m_clock.Now()));
  }
  void HandleMessage(CallerLink aLink,
                     FrameStream& /*aStream*/,
                     CancelCall aCancel)
  {
    const MonotonicTime now = m_clock.Now();
    Execute(aCancel.m_onlyIfWaiting ? m_guard.Withdraw(aLink, aCancel.m_id, now)
                                    : m_guard.Cancel(aLink, aCancel.m_id, now));
  }
  void HandleMessage(CallerLink /*aLink*/,
                     FrameStream& aStream,
                     OperationQuery aQuery)
  {
    const Question outcomeQuery{ .m_key = { aQuery.m_caller,
                                            aQuery.m_operation },
                                 .m_attempt = aQuery.m_attempt,
                                 .m_sentTo = aQuery.m_sentTo };
    AskResult result = m_guard.Ask(outcomeQuery, m_clock.Now());
    aStream.Send(OperationReply{
      aQuery.m_id, result.m_status, std::move(result.m_answer) });
    // A query can withdraw a waiting call, so the queue is processed again.
    Execute(m_guard.Tick(m_clock.Now()));
  }
  void HandleMessage(CallerLink /*aLink*/, FrameStream& aStream, LinkPing aPing)
  {
    aStream.Send(LinkPong{ aPing.m_number });
  }
  void HandleMessage(CallerLink /*aLink*/,
                     FrameStream& aStream,
                     StateRequest aRequest)
  {
    m_events.m_onStateRequest(
      std::move(aRequest.m_bytes),
      [this, id = aRequest.m_id, stream = aStream.shared_from_this()](
        std::string aBytes) {
        m_loop.Post([id, stream, bytes = std::move(aBytes)] {
          stream->Send(StateReply{ id, bytes });
        });
      });
  }
  void HandleMessage(CallerLink /*aLink*/,
                     FrameStream& aStream,
                     const LeaseRequest& aRequest)
  {
    const BootTime now = m_clock.BootNow();
    LeaseReply reply;
    if (aRequest.m_kind == LeaseKind::Pool) {
      reply = m_accountPool.OnRequest(aRequest, now);
    } else if (aRequest.m_kind == LeaseKind::Transfer) {
      reply = m_accountPool.OnTransferRequest(aRequest, now);
    }
    reply.m_id = aRequest.m_id;
    if (m_confirmation) {
      reply.m_age = now - m_confirmation->m_asOf;
      reply.m_confirmed = m_confirmation->m_revision;
    }
    aStream.Send(std::move(reply));
    AskOtherPools(now);
    UpdateStats();
  }
  /// Closes the link on any other message: a node does not send it to the
  /// accepting side of a link.
  template<typename Unexpected>
  void HandleMessage(CallerLink /*aLink*/,
                     FrameStream& aStream,
                     Unexpected /*aBody*/)
  {
    aStream.Close();
  }

  /// Asks the coordinators of the other data centres for missing tokens, when
  /// that is due.
  void AskOtherPools(BootTime aNow)
  {
    if (!m_accounts || !m_accountPool.WantsTransfer(aNow)) {
      return;
    }
    LeaseRequest request;
    request.m_kind = LeaseKind::Transfer;
    request.m_node = m_settings.m_vm;
    request.m_incarnation = m_settings.m_incarnation;
    request.m_configuration = m_accounts->m_revision;
    request.m_wanted = m_accountPool.TakeTransferWants(aNow);
    for (const AccountPeer& peer : m_accounts->m_otherCoordinators) {
      asio::co_spawn(m_loop.Context(),
                     AskPool(m_peers.Get(peer.m_address), request, aNow),
                     asio::detached);
    }
  }

  asio::awaitable<void> AskPool(std::shared_ptr<PeerLink> aLink,
                                LeaseRequest aRequest,
                                BootTime aAskedAt)
  {
    const Exchange<LeaseReply> exchange =
      co_await aLink->Lease(std::move(aRequest), kTransferTimeout);
    if (const auto* reply = std::get_if<LeaseReply>(&exchange)) {
      m_accountPool.OnTransferred(*reply, aAskedAt, m_clock.BootNow());
      UpdateStats();
    }
  }

  void Execute(GuardActions aActions)
  {
    for (const AbortUpstream& abort : aActions.m_aborts) {
      const auto run = m_runs.find(abort.m_ticket);
      if (run != m_runs.end()) {
        run->second->Abort();
      }
    }
    if (aActions.m_notice) {
      HandleNotice(*aActions.m_notice);
    }
    if (aActions.m_coldChange) {
      LogColdChange(*aActions.m_coldChange);
    }
    for (const RefusedCall& refused : aActions.m_refused) {
      LogRefusal(refused);
    }
    for (Reply& reply : aActions.m_replies) {
      SendReply(std::move(reply));
    }
    for (Run& run : aActions.m_runs) {
      Start(std::move(run));
    }
    for (const RequestBody& body : aActions.m_bodies) {
      const auto link = m_links.find(body.m_link);
      if (link != m_links.end()) {
        link->second->Send(
          BodyRequest{ body.m_call, body.m_offset, body.m_size });
      }
    }
    if (aActions.m_healthTarget) {
      SendHealthRequest(std::move(*aActions.m_healthTarget));
    }
    UpdateStats();
    ScheduleTick();
  }

  static void LogColdChange(const ColdChange& aChange)
  {
    if (aChange.m_isLimited) {
      Log(LogLevel::Info,
          kPart,
          "Upstream may be cold.",
          { { "reason", std::string(Name(aChange.m_reason)) } });
    } else {
      Log(LogLevel::Info, kPart, "Upstream is warm.");
    }
  }

  /// Sends a health request to the upstream on a connection of its own, so that
  /// the answer is not one of an earlier process.
  void SendHealthRequest(std::string aTarget)
  {
    HttpCall call;
    call.m_request.m_method = "GET";
    call.m_request.m_target = std::move(aTarget);
    call.m_step = "upstream.health";
    call.m_timeout = kHealthTimeout;
    HttpClientSettings settings;
    settings.m_peer = m_place.m_address;
    settings.m_maxBody = kMaxHealthBody;
    settings.m_resendsGet = false;
    m_health = HttpClient::Create(m_loop.Context(), std::move(settings));
    m_health->Send(
      std::move(call), [this](const Result<HttpAnswerParts>& aAnswer) {
        // The client must not be replaced within its own callback.
        m_loop.Post([this, remaining = ColdRemainingIn(aAnswer)] {
          m_health.reset();
          Execute(m_guard.OnHealthAnswer(remaining, m_clock.Now()));
        });
      });
  }

  /// What a successful answer to a health request tells; not set otherwise.
  std::optional<Duration> ColdRemainingIn(
    const Result<HttpAnswerParts>& aAnswer) const
  {
    if (!aAnswer) {
      Log(LogLevel::Info, kPart, "Health request failed.", aAnswer.error());
      return std::nullopt;
    }
    const std::uint16_t status = aAnswer.value().m_status;
    if (status < kFirstSuccess || status > kLastSuccess) {
      return std::nullopt;
    }
    // A warm upstream need not state that it is.
    return m_settings.m_dialect->ReadNotice(aAnswer.value())
      .m_coldRemaining.value_or(Duration(0));
  }

  void HandleNotice(const UpstreamNotice& aNotice)
  {
    Log(LogLevel::Info,
        kPart,
        "Upstream notice.",
        { { "limit_per_s",
            aNotice.m_rateLimit ? std::to_string(aNotice.m_rateLimit->Value())
                                : "none" },
          { "leaving", aNotice.m_isLeaving ? "yes" : "no" } });
    if (aNotice.m_isLeaving) {
      m_events.m_onUpstreamLeaving(m_place.m_instance);
    }
  }

  void LogRefusal(const RefusedCall& aRefused) const
  {
    // A caller that cancelled expects the refusal. Other callers receive only
    // the reason, so the details are logged here.
    const bool isCancelled = aRefused.m_reason == RefusalReason::Cancelled;
    const LogLevel level = isCancelled ? LogLevel::Debug : LogLevel::Info;
    if (!IsLogged(level)) {
      return;
    }
    const LoadReport load = m_guard.Load();
    Log(level,
        kPart,
        "Call refused.",
        { { "id", aRefused.m_operation.Value() },
          { "route", aRefused.m_route.Value() },
          { "reason", std::string(Name(aRefused.m_reason)) },
          { "waited_ms", Milliseconds(aRefused.m_waited) },
          { "left_ms", Milliseconds(aRefused.m_left) },
          { "retry_after_ms", Milliseconds(aRefused.m_retryAfter) },
          { "running", std::to_string(load.m_running) },
          { "waiting", std::to_string(load.m_queued) },
          { "slots", std::to_string(load.m_slots.Value()) } });
  }

  void SendReply(Reply aReply)
  {
    if (aReply.m_answer.m_outcome == CallOutcome::NotRun) {
      ++m_refused;
    } else if (aReply.m_answer.m_outcome == CallOutcome::Done) {
      m_settings.m_dialect->AddOrigin(
        m_settings.m_vm, m_version, aReply.m_answer.m_http);
    }
    const auto link = m_links.find(aReply.m_link);
    if (link != m_links.end()) {
      link->second->Send(std::move(aReply.m_answer));
    }
  }

  void Start(Run aRun)
  {
    const Ticket ticket = aRun.m_ticket;
    const UsageKey usage{ aRun.m_call.m_caller, aRun.m_call.m_service.m_owner };
    auto run = m_pool->Start(
      std::move(aRun.m_call),
      [this, ticket, usage](Answer aAnswer) {
        m_runs.erase(ticket);
        AddUsage(usage, aAnswer);
        Execute(m_guard.Finished(ticket, std::move(aAnswer), m_clock.Now()));
      },
      [this, ticket](Duration aSinceSent) {
        return m_guard.MayResend(ticket, aSinceSent, m_clock.Now());
      });
    m_runs.emplace(ticket, std::move(run));
  }

  void AddUsage(const UsageKey& aKey, const Answer& aAnswer)
  {
    if (aAnswer.m_outcome == CallOutcome::NotRun) {
      return;
    }
    ++m_ran;
    if (m_usage.m_usage.empty()) {
      m_usageTimer.expires_after(kUsageInterval);
      m_usageTimer.async_wait([this](const auto& aError) {
        if (!aError) {
          m_events.m_onUsage(std::exchange(m_usage, UsageBatch()));
        }
      });
    }
    Usage& usage = m_usage.m_usage[aKey];
    usage.m_calls += CallCount(1);
    usage.m_slotTime += aAnswer.m_serviceTime;
  }

  void UpdateStats()
  {
    UpdateBusy();
    const std::lock_guard lock(m_statsMutex);
    m_stats.m_load = m_guard.Load();
    m_stats.m_refused = CallCount(m_refused);
    m_stats.m_refusedEvacuated =
      CallCount(m_guard.RefusedFor(RefusalReason::Evacuated));
    m_stats.m_ran = CallCount(m_ran);
    m_stats.m_unreadableLoads = CallCount(m_guard.UnreadableLoads());
    const ColdCounters& cold = m_guard.Cold();
    m_stats.m_isLimitedAsCold = m_guard.IsLimitedAsCold();
    m_stats.m_delayedAsCold = CallCount(cold.m_delayed);
    m_stats.m_refusedAsCold = CallCount(cold.m_refused);
    m_stats.m_healthRequests = CallCount(cold.m_healthRequests);
    const ResendCounters& resends = m_guard.Resends();
    m_stats.m_resent = CallCount(resends.m_resent);
    m_stats.m_resendsLate = CallCount(resends.m_late);
    m_stats.m_resendsClosed = CallCount(resends.m_closed);
    m_stats.m_refusedForTime =
      CallCount(m_guard.RefusedFor(RefusalReason::DeadlineTooShort));
    m_stats.m_refusedForShare =
      CallCount(m_guard.RefusedFor(RefusalReason::FairShare));
    m_stats.m_admission = m_guard.Admission();
    if (m_confirmation) {
      m_stats.m_confirmedAt = m_confirmation->m_asOf;
    }
    const PoolCounters& pool = m_accountPool.Counters();
    m_stats.m_tokensGranted = pool.m_granted;
    m_stats.m_tokensReceived = pool.m_transferredIn;
    m_stats.m_tokensGiven = pool.m_transferredOut;
    m_stats.m_tokenRequestsRejected = pool.m_rejected;
  }

  /// The guard counts as busy until all answers have been written.
  void UpdateBusy()
  {
    const bool isBusy = !m_guard.IsIdle() || m_writes > 0;
    if (isBusy != m_isBusy) {
      m_isBusy = isBusy;
      isBusy ? m_inFlight.Begin() : m_inFlight.End();
    }
  }

  void ScheduleTick()
  {
    const auto next = m_guard.NextTick();
    if (!next || (m_scheduled && *m_scheduled <= *next)) {
      return;
    }
    m_scheduled = next;
    m_tick.expires_after(std::max(*next - m_clock.Now(), Duration(0)));
    m_tick.async_wait([this](const auto& aError) {
      if (!aError) {
        m_scheduled.reset();
        Execute(m_guard.Tick(m_clock.Now()));
      }
    });
  }

  GuardThreadSettings m_settings;
  const Clock& m_clock;
  IdleSignal& m_inFlight;
  GuardEvents m_events;
  IdleSignal m_openLinks;
  mutable std::mutex m_statsMutex;
  GuardStats m_stats;

  // After Listen, accessed on the loop's thread only.
  Guard m_guard;
  ThreadLoop m_loop;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_tick;
  std::optional<MonotonicTime> m_scheduled;
  asio::steady_timer m_usageTimer;
  UsageBatch m_usage;
  UpstreamVersion m_version;
  UpstreamEndpoint m_place;
  std::unique_ptr<UpstreamPool> m_pool;
  std::unique_ptr<HttpClient> m_health;
  /// Null without accounts.
  std::shared_ptr<const AccountsView> m_accounts;
  AccountPool m_accountPool;
  /// Links to the pools of other data centres.
  PeerLinks m_peers;
  std::optional<Confirmation> m_confirmation;
  std::unordered_map<CallerLink, std::shared_ptr<FrameStream>> m_links;
  std::unordered_map<Ticket, std::shared_ptr<UpstreamRun>> m_runs;
  bool m_isLeaving = false;
  bool m_isBusy = false;
  /// Number of links with unfinished writes.
  int m_writes = 0;
  std::uint64_t m_lastLink = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_ran = 0;
};

} // namespace

Result<std::unique_ptr<GuardThread>>
GuardThread::Create(const GuardThreadSettings& aSettings,
                    const Clock& aClock,
                    IdleSignal& aInFlight,
                    GuardEvents aEvents)
{
  GuardSettings settings;
  settings.m_incarnation = aSettings.m_incarnation;
  settings.m_cold = aSettings.m_cold;
  BOOST_OUTCOME_TRY(auto policy,
                    aSettings.m_admitsByObjective
                      ? ObjectiveAdmission::Create({})
                      : FairAdmission::Create({}));
  BOOST_OUTCOME_TRY(auto guard, Guard::Create(settings, std::move(policy)));
  auto loop = std::make_unique<GuardLoop>(
    aSettings, aClock, aInFlight, std::move(aEvents), std::move(guard));
  BOOST_OUTCOME_TRY(loop->Listen());
  return std::unique_ptr<GuardThread>(std::move(loop));
}

} // namespace tarragontray
