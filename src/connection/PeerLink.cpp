#include "connection/PeerLink.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Hash.h"
#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// The answer of a peer that has announced its shutdown.
Answer
RefusalOfLeavingPeer()
{
  Answer answer;
  answer.m_outcome = CallOutcome::NotRun;
  answer.m_refusal = RefusalReason::Draining;
  return answer;
}

LinkFailure
ConnectionLost(LostStage aStage, const NetworkAddress& aPeer)
{
  return {
    aStage,
    Error(ErrorCode::Closed, "link.call", aPeer.ToString(), "connection lost")
  };
}

CallId
IdOf(const PeerMessage& aMessage)
{
  if (const Answer* answer = std::get_if<Answer>(&aMessage)) {
    return answer->m_id;
  }
  if (const OperationReply* reply = std::get_if<OperationReply>(&aMessage)) {
    return reply->m_id;
  }
  if (const StateReply* reply = std::get_if<StateReply>(&aMessage)) {
    return reply->m_id;
  }
  if (const LeaseReply* reply = std::get_if<LeaseReply>(&aMessage)) {
    return reply->m_id;
  }
  return CallId(0);
}

/// Takes a large body out of the call. \return the body; empty when the call
/// keeps it.
std::string
DeferBody(Call& aCall)
{
  std::string& body = aCall.m_http.m_body;
  if (body.size() <= kMaxInlineBodyBytes.Value()) {
    return {};
  }
  aCall.m_deferredBody =
    DeferredBody{ ByteCount(body.size()), StableHash(body) };
  return std::exchange(body, {});
}

} // namespace

std::shared_ptr<PeerLink>
PeerLink::Create(asio::io_context& aContext,
                 const Clock& aClock,
                 const NetworkAddress& aPeer,
                 const LinkSettings& aSettings)
{
  return std::shared_ptr<PeerLink>(
    new PeerLink(aContext, aClock, aPeer, aSettings));
}

PeerLink::PeerLink(asio::io_context& aContext,
                   const Clock& aClock,
                   const NetworkAddress& aPeer,
                   const LinkSettings& aSettings)
  : m_context(aContext)
  , m_clock(aClock)
  , m_peer(aPeer)
  , m_settings(aSettings)
  , m_connected(aContext, asio::steady_timer::time_point::max())
  , m_receiveTimer(aContext)
{
}

asio::awaitable<Exchange<Answer>>
PeerLink::Run(Call aCall, Duration aTimeout, Duration aWithdrawAfter)
{
  return RoundTrip<Answer>(std::move(aCall), aTimeout, aWithdrawAfter);
}

asio::awaitable<Exchange<OperationReply>>
PeerLink::Ask(OperationQuery aQuery, Duration aTimeout)
{
  return RoundTrip<OperationReply>(std::move(aQuery), aTimeout);
}

asio::awaitable<Exchange<StateReply>>
PeerLink::Fetch(std::string aRequest, Duration aTimeout)
{
  return RoundTrip<StateReply>(StateRequest{ CallId(0), std::move(aRequest) },
                               aTimeout);
}

asio::awaitable<Exchange<LeaseReply>>
PeerLink::Lease(LeaseRequest aRequest, Duration aTimeout)
{
  return RoundTrip<LeaseReply>(std::move(aRequest), aTimeout);
}

/// Counts an exchange while it runs, and closes the link after the last one if
/// it will not be used again.
class PeerLink::ExchangeCount
{
public:
  explicit ExchangeCount(PeerLink& aLink)
    : m_link(aLink)
  {
    ++m_link.m_exchanges;
  }
  ExchangeCount(const ExchangeCount&) = delete;
  ExchangeCount& operator=(const ExchangeCount&) = delete;
  ~ExchangeCount()
  {
    --m_link.m_exchanges;
    m_link.CloseIfUnused();
  }

private:
  PeerLink& m_link;
};

template<typename Reply, typename Request>
asio::awaitable<Exchange<Reply>>
PeerLink::RoundTrip(Request aRequest,
                    Duration aTimeout,
                    Duration aWithdrawAfter)
{
  const auto self = shared_from_this();
  const ExchangeCount count(*this);
  const MonotonicTime start = m_clock.Now();
  const MonotonicTime deadline = start + aTimeout;
  if constexpr (std::is_same_v<Reply, Answer>) {
    if (m_isLeaving) {
      co_return RefusalOfLeavingPeer();
    }
  }
  const Result<void> open = co_await EnsureOpen();
  if (!open) {
    co_return LinkFailure{ LostStage::NotSent, open.error() };
  }
  if constexpr (std::is_same_v<Reply, Answer>) {
    if (m_isLeaving) {
      co_return RefusalOfLeavingPeer();
    }
  }
  if (!m_stream->IsOpen()) {
    co_return ConnectionLost(LostStage::NotSent, m_peer);
  }
  aRequest.m_id = CallId(m_nextId++);
  const auto pending = std::make_shared<Pending>(m_context);
  m_pending.emplace(aRequest.m_id, pending);
  if constexpr (std::is_same_v<Request, Call>) {
    pending->m_deferredBody = DeferBody(aRequest);
  }
  const CallId id = aRequest.m_id;
  m_stream->Send(std::move(aRequest));
  pending->m_queuedBytes = m_stream->BytesQueued();
  RestartReceiveTimeout();
  const bool isWithdrawn = aWithdrawAfter < aTimeout;
  const MonotonicTime end = isWithdrawn ? start + aWithdrawAfter : deadline;
  if (co_await IsPendingUntil(pending, end) && isWithdrawn) {
    m_stream->Send(CancelCall{ id, true });
    co_await IsPendingUntil(pending, deadline);
  }
  m_pending.erase(id);
  if (pending->m_reply) {
    if (Reply* reply = std::get_if<Reply>(&*pending->m_reply)) {
      co_return std::move(*reply);
    }
    Close();
  }
  if (pending->m_isLost || IsClosed()) {
    co_return ConnectionLost(m_stream->MayHaveWritten(pending->m_queuedBytes)
                               ? LostStage::Sent
                               : LostStage::NotSent,
                             m_peer);
  }
  m_stream->Send(CancelCall{ id });
  co_return ExchangeTimeout{};
}

asio::awaitable<bool>
PeerLink::IsPendingUntil(std::shared_ptr<Pending> aPending, MonotonicTime aTime)
{
  aPending->m_timer.expires_after(std::max(aTime - m_clock.Now(), Duration(0)));
  const auto [error] = co_await aPending->m_timer.async_wait(kAwait);
  co_return !error && !aPending->m_reply && !aPending->m_isLost;
}

asio::awaitable<Result<void>>
PeerLink::EnsureOpen()
{
  if (m_state == State::NotConnected) {
    m_state = State::Connecting;
    asio::co_spawn(
      m_context,
      [self = shared_from_this()] { return self->Connect(); },
      asio::detached);
  }
  if (m_state == State::Connecting) {
    co_await m_connected.async_wait(kAwait);
  }
  if (m_state != State::Open) {
    co_return m_connectError.value_or(Error(
      ErrorCode::Closed, "link.connect", m_peer.ToString(), "link closed"));
  }
  co_return Success();
}

asio::awaitable<void>
PeerLink::Connect()
{
  const auto self = shared_from_this();
  // Shared with the timer: its handler may already be queued when the
  // connection is established, and then runs after this coroutine has ended.
  const auto socket = std::make_shared<tcp::socket>(m_context);
  asio::steady_timer timeout(m_context, m_settings.m_connectTimeout);
  timeout.async_wait(
    [weak = std::weak_ptr(socket)](const boost::system::error_code& aError) {
      const auto connecting = weak.lock();
      if (!aError && connecting) {
        boost::system::error_code ignored;
        connecting->close(ignored);
      }
    });
  const auto endpoint = EndpointOf<tcp>(m_peer);
  const auto [error] = co_await socket->async_connect(endpoint, kAwait);
  timeout.cancel();
  if (error || !socket->is_open() || m_state == State::Closed) {
    m_connectError = Error(ErrorCode::Unreachable,
                           "link.connect",
                           m_peer.ToString(),
                           error ? error.message() : "timeout");
    m_state = State::Closed;
  } else {
    m_stream = FrameStream::Create(std::move(*socket), m_peer.ToString());
    m_state = State::Open;
    m_lastReceive = m_clock.Now();
    asio::co_spawn(
      m_context, [self] { return self->ReceiveLoop(); }, asio::detached);
    asio::co_spawn(
      m_context,
      [self] { return self->MonitorReceiveTimeout(); },
      asio::detached);
  }
  m_connected.cancel();
}

asio::awaitable<void>
PeerLink::ReceiveLoop()
{
  const auto self = shared_from_this();
  const auto stream = m_stream;
  while (true) {
    Result<PeerMessage> message = co_await stream->Receive();
    if (!message) {
      break;
    }
    RecordReceivedBytes();
    Dispatch(std::move(message.value()));
  }
  Close();
}

void
PeerLink::Dispatch(PeerMessage aMessage)
{
  if (const LinkPing* ping = std::get_if<LinkPing>(&aMessage)) {
    m_stream->Send(LinkPong{ ping->m_number });
    return;
  }
  if (const LinkPong* pong = std::get_if<LinkPong>(&aMessage)) {
    OnPong(*pong);
    return;
  }
  if (std::holds_alternative<LinkLeaving>(aMessage)) {
    m_isLeaving = true;
    m_leavingSince = m_clock.Now();
    CloseIfUnused();
    return;
  }
  if (const BodyRequest* request = std::get_if<BodyRequest>(&aMessage)) {
    SendBody(*request);
    return;
  }
  const CallId id = IdOf(aMessage);
  Complete(id, std::move(aMessage));
}

void
PeerLink::SendBody(const BodyRequest& aRequest)
{
  // A call that has timed out has no entry; its cancellation is on its way.
  const auto found = m_pending.find(aRequest.m_id);
  if (found == m_pending.end()) {
    return;
  }
  Pending& pending = *found->second;
  const std::string& body = pending.m_deferredBody;
  if (aRequest.m_offset.Value() >= body.size()) {
    Close();
    return;
  }
  m_stream->Send(BodyData{
    aRequest.m_id,
    body.substr(aRequest.m_offset.Value(), aRequest.m_size.Value()) });
  pending.m_queuedBytes = m_stream->BytesQueued();
}

void
PeerLink::CloseIfUnused()
{
  const bool isRetired = m_closesWhenUnused && m_exchanges == 0;
  if ((m_isLeaving || isRetired) && m_pending.empty()) {
    Close();
  }
}

void
PeerLink::CloseWhenUnused()
{
  m_closesWhenUnused = true;
  CloseIfUnused();
}

void
PeerLink::Complete(CallId aId, PeerMessage aMessage)
{
  // An answer to a call that has timed out has no entry and is dropped.
  const auto found = m_pending.find(aId);
  if (found != m_pending.end()) {
    m_acknowledgedBytes =
      std::max(m_acknowledgedBytes, found->second->m_queuedBytes);
    found->second->m_reply = std::move(aMessage);
    found->second->m_timer.cancel();
  }
}

void
PeerLink::RestartReceiveTimeout()
{
  if (m_pending.size() == 1) {
    m_lastReceive = m_clock.Now();
    m_receiveTimer.cancel();
  }
}

asio::awaitable<void>
PeerLink::MonitorReceiveTimeout()
{
  const auto self = shared_from_this();
  while (m_state == State::Open) {
    const MonotonicTime due = m_clock.Now() + m_settings.m_pingAfter;
    if (m_pending.empty()) {
      m_receiveTimer.expires_at(asio::steady_timer::time_point::max());
    } else {
      m_receiveTimer.expires_after(m_settings.m_pingAfter);
    }
    co_await m_receiveTimer.async_wait(kAwait);
    if (m_state != State::Open || m_pending.empty()) {
      continue;
    }
    RecordReceivedBytes();
    const MonotonicTime now = m_clock.Now();
    if (now > due) {
      // A pause of this thread is not silence of the peer.
      m_lastReceive = std::min(now, m_lastReceive + (now - due));
    }
    const Duration idleTime = now - m_lastReceive;
    if (idleTime >= ReceiveTimeout()) {
      Close();
    } else if (idleTime >= m_settings.m_pingAfter) {
      SendPing();
    }
  }
}

void
PeerLink::RecordReceivedBytes()
{
  const std::uint64_t received = m_stream->BytesReceived();
  if (received != m_lastReceivedBytes) {
    m_lastReceivedBytes = received;
    m_lastReceive = m_clock.Now();
  }
}

void
PeerLink::SendPing()
{
  m_stream->Send(LinkPing{ ++m_pingNumber });
  m_pings.push_back({ m_pingNumber, m_stream->BytesQueued() });
}

void
PeerLink::OnPong(const LinkPong& aPong)
{
  while (!m_pings.empty() && m_pings.front().m_number <= aPong.m_number) {
    m_acknowledgedBytes =
      std::max(m_acknowledgedBytes, m_pings.front().m_queuedBytes);
    m_pings.pop_front();
  }
}

Duration
PeerLink::ReceiveTimeout() const
{
  const std::uint64_t inTransit = m_stream->BytesQueued() - m_acknowledgedBytes;
  return m_settings.m_receiveTimeout +
         std::chrono::milliseconds(inTransit * 1'000 /
                                   m_settings.m_minBytesPerSecond);
}

void
PeerLink::Close()
{
  m_state = State::Closed;
  if (m_stream) {
    m_stream->Close();
  }
  m_receiveTimer.cancel();
  m_connected.cancel();
  for (const auto& [id, pending] : m_pending) {
    pending->m_isLost = true;
    pending->m_timer.cancel();
  }
}

std::uint64_t
PeerLink::BytesSent() const
{
  return m_stream ? m_stream->BytesSent() : 0;
}

std::uint64_t
PeerLink::BytesReceived() const
{
  return m_stream ? m_stream->BytesReceived() : 0;
}

PeerLinks::PeerLinks(asio::io_context& aContext,
                     const Clock& aClock,
                     const LinkSettings& aSettings)
  : m_context(aContext)
  , m_clock(aClock)
  , m_settings(aSettings)
{
}

PeerLinks::~PeerLinks()
{
  CloseAll();
}

std::shared_ptr<PeerLink>
PeerLinks::Get(const NetworkAddress& aPeer)
{
  RemoveClosed();
  std::shared_ptr<PeerLink>& link = m_links[aPeer];
  const bool isLeaving =
    link && link->IsLeaving() &&
    m_clock.Now() < link->LeavingSince() + kNoReconnectTime;
  if (!link || (link->IsClosed() && !isLeaving)) {
    link = PeerLink::Create(m_context, m_clock, aPeer, m_settings);
  }
  return link;
}

void
PeerLinks::RemoveClosed()
{
  if (m_links.size() < kMaxLinks) {
    return;
  }
  std::erase_if(m_links, [](const auto& aEntry) {
    if (aEntry.second->IsIdle()) {
      aEntry.second->Close();
    }
    return aEntry.second->IsClosed();
  });
}

std::shared_ptr<PeerLink>
PeerLinks::GetFresh(const NetworkAddress& aPeer)
{
  std::shared_ptr<PeerLink>& link = m_links[aPeer];
  if (link) {
    link->CloseWhenUnused();
  }
  link = PeerLink::Create(m_context, m_clock, aPeer, m_settings);
  return link;
}

void
PeerLinks::CloseAll()
{
  for (const auto& [address, link] : m_links) {
    link->Close();
  }
  m_links.clear();
}

} // namespace tarragontray
