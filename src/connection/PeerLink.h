/// \file
/// A node's link to one peer node: many concurrent calls over one connection.
///
/// The link connects on first use. While calls are pending and no data arrives,
/// it sends pings; if data still doesn't arrive within a timeout, the link is
/// closed, so that a connection whose state was lost on the way (for example in
/// a NAT gateway) delays its calls only briefly. Each part of a message
/// restarts the timeout, and the timeout is longer while a large request is in
/// transit: both take long over a slow link. PeerLinks::Get replaces a closed
/// link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "connection/FrameStream.h"
#include "request/CallPlan.h"

namespace tarragontray {

/// Timeouts of a link.
struct LinkSettings
{
  Duration m_connectTimeout{ std::chrono::milliseconds(250) };
  /// Time without received data after which pending calls cause a ping.
  Duration m_pingAfter{ std::chrono::milliseconds(100) };
  /// Time without received data after which a link with pending calls closes.
  Duration m_receiveTimeout{ std::chrono::milliseconds(400) };
  /// Minimum expected throughput of a request in transit; the peer sends
  /// nothing until it has received all of it. Half of 10 Mbit/s.
  std::uint64_t m_minBytesPerSecond = 625'000;
};

/// The link failed before the reply arrived.
struct LinkFailure
{
  LostStage m_stage;
  Error m_error;
};

/// The caller's timeout has passed; a CancelCall was sent.
struct ExchangeTimeout
{};

/// Result of a request over a link.
template<typename Reply>
using Exchange = std::variant<Reply, LinkFailure, ExchangeTimeout>;

/// See the file comment.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  static std::shared_ptr<PeerLink> Create(boost::asio::io_context& aContext,
                                          const Clock& aClock,
                                          const NetworkAddress& aPeer,
                                          const LinkSettings& aSettings);

  /// Sends a call and waits for its answer. Sets the call's id. A body above
  /// kMaxInlineBodyBytes is sent in the pieces that the peer requests.
  /// \param aWithdrawAfter when there is no answer by then, the peer is asked
  /// to refuse the call unless it has started.
  boost::asio::awaitable<Exchange<Answer>>
  Run(Call aCall, Duration aTimeout, Duration aWithdrawAfter = Duration::max());

  /// Queries the status of an operation. Sets the query's id.
  boost::asio::awaitable<Exchange<OperationReply>> Ask(OperationQuery aQuery,
                                                       Duration aTimeout);

  /// Requests state for anti-entropy, as bytes that the caller encodes.
  boost::asio::awaitable<Exchange<StateReply>> Fetch(std::string aRequest,
                                                     Duration aTimeout);

  /// Asks for the age of the peer's confirmation and for tokens. Sets the
  /// request's id.
  boost::asio::awaitable<Exchange<LeaseReply>> Lease(LeaseRequest aRequest,
                                                     Duration aTimeout);

  /// True once the peer has announced its shutdown: new calls are refused as
  /// Draining without being sent.
  bool IsLeaving() const { return m_isLeaving; }
  /// Precondition: IsLeaving().
  MonotonicTime LeavingSince() const { return m_leavingSince; }
  /// Closes the connection; pending exchanges fail.
  void Close();
  /// Closes the connection once no exchange is pending. Precondition: no
  /// further exchange is started.
  void CloseWhenUnused();
  /// True once the link is closed; it is never reopened.
  bool IsClosed() const { return m_state == State::Closed; }
  /// True when the link is open and has no pending exchange.
  bool IsIdle() const { return m_state == State::Open && m_pending.empty(); }
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  enum class State : std::uint8_t
  {
    NotConnected,
    Connecting,
    Open,
    Closed,
  };
  /// An exchange that waits for its reply; cancelling the timer resumes it.
  struct Pending
  {
    explicit Pending(boost::asio::io_context& aContext)
      : m_timer(aContext)
    {
    }
    boost::asio::steady_timer m_timer;
    std::optional<PeerMessage> m_reply;
    bool m_isLost = false;
    /// The body of a call that the peer has still to request.
    std::string m_deferredBody;
    /// FrameStream::BytesQueued after its request was queued.
    std::uint64_t m_queuedBytes = 0;
  };
  class ExchangeCount;
  /// An unanswered ping. Its pong acknowledges all bytes queued up to it.
  struct SentPing
  {
    std::uint32_t m_number = 0;
    std::uint64_t m_queuedBytes = 0;
  };

  PeerLink(boost::asio::io_context& aContext,
           const Clock& aClock,
           const NetworkAddress& aPeer,
           const LinkSettings& aSettings);

  boost::asio::awaitable<Result<void>> EnsureOpen();
  boost::asio::awaitable<void> Connect();
  boost::asio::awaitable<void> ReceiveLoop();
  boost::asio::awaitable<void> MonitorReceiveTimeout();
  void RecordReceivedBytes();
  void SendPing();
  void OnPong(const LinkPong& aPong);
  /// Time without received data after which the link is closed: longer while a
  /// large request is in transit.
  Duration ReceiveTimeout() const;
  template<typename Reply, typename Request>
  boost::asio::awaitable<Exchange<Reply>> RoundTrip(
    Request aRequest,
    Duration aTimeout,
    Duration aWithdrawAfter = Duration::max());
  /// Waits for the reply, the loss of the link or the caller's cancellation.
  /// Returns true when none of them has come by aTime.
  boost::asio::awaitable<bool> IsPendingUntil(std::shared_ptr<Pending> aPending,
                                              MonotonicTime aTime);
  void Dispatch(PeerMessage aMessage);
  void Complete(CallId aId, PeerMessage aMessage);
  void SendBody(const BodyRequest& aRequest);
  void RestartReceiveTimeout();
  /// Closes a link that will not be used again and has no exchange.
  void CloseIfUnused();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  NetworkAddress m_peer;
  LinkSettings m_settings;
  State m_state = State::NotConnected;
  std::shared_ptr<FrameStream> m_stream;
  std::optional<Error> m_connectError;
  /// Cancelled when connecting ends, to resume the exchanges that wait for it.
  boost::asio::steady_timer m_connected;
  boost::asio::steady_timer m_receiveTimer;
  std::unordered_map<CallId, std::shared_ptr<Pending>> m_pending;
  std::uint64_t m_nextId = 1;
  std::uint32_t m_pingNumber = 0;
  bool m_isLeaving = false;
  bool m_closesWhenUnused = false;
  /// Running exchanges, including those that wait for the connection.
  std::size_t m_exchanges = 0;
  MonotonicTime m_lastReceive{};
  /// FrameStream::BytesReceived at that time.
  std::uint64_t m_lastReceivedBytes = 0;
  std::deque<SentPing> m_pings;
  /// The peer is known to have received the queued bytes up to this offset.
  std::uint64_t m_acknowledgedBytes = 0;
  MonotonicTime m_leavingSince{};
};

/// The links of one traffic thread, by peer address.
class PeerLinks
{
public:
  PeerLinks(boost::asio::io_context& aContext,
            const Clock& aClock,
            const LinkSettings& aSettings);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// The link to a peer; creates one if there is none or if it is closed. A
  /// peer that announced its shutdown gets no new connection for
  /// kNoReconnectTime.
  std::shared_ptr<PeerLink> Get(const NetworkAddress& aPeer);
  /// Replaces the link to a peer by one with a new connection. The former link
  /// keeps its pending calls, and closes after the last of them.
  std::shared_ptr<PeerLink> GetFresh(const NetworkAddress& aPeer);
  /// Closes all links.
  void CloseAll();

  /// Longer than a node keeps running after it has announced its shutdown.
  static constexpr Duration kNoReconnectTime = std::chrono::seconds(3);

  /// Number of links from which on closed and unused links are removed.
  static constexpr std::size_t kMaxLinks = 4096;

private:
  void RemoveClosed();

  boost::asio::io_context& m_context;
  const Clock& m_clock;
  LinkSettings m_settings;
  std::unordered_map<NetworkAddress, std::shared_ptr<PeerLink>> m_links;
};

} // namespace tarragontray
