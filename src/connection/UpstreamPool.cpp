#include "connection/UpstreamPool.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "connection/HttpFields.h"
#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Maximum size of one read. Beast reads as much as fits into the buffer's
/// capacity, but at least 512 bytes; without this reserve a large body would
/// arrive in small pieces.
constexpr std::size_t kReadBytes = 16U << 10U;
/// How long an idle connection may be reused, unless the upstream announces a
/// shorter time.
constexpr Duration kIdleLimit = std::chrono::seconds(4);
/// Divides the idle timeout that the upstream announces; the margin covers a
/// delayed close.
constexpr int kIdleTimeoutDivisor = 2;
/// How long an idle connection may be reused for a call that is not idempotent.
/// An upstream that has dropped a connection resets it when a call arrives,
/// which can't be distinguished from a reset after the call has run.
constexpr Duration kNonIdempotentIdleLimit = std::chrono::milliseconds(250);
/// Time limit for connecting.
constexpr Duration kConnectLimit = std::chrono::seconds(1);

/// A connection and its buffer, which its calls reuse.
struct Connection
{
  tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer{ kMaxUnparsedBytes };
  MonotonicTime m_idleSince{};
  /// The connection must not be reused after this time.
  MonotonicTime m_reusableUntil{};
};

/// The idle connections; shared with the runs, which may outlive the pool.
struct Connections
{
  UpstreamEndpoint m_endpoint;
  std::vector<Connection> m_idle;
};

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

Request
ToBeast(HttpRequestParts aParts)
{
  Request request;
  request.version(11);
  request.method_string(aParts.m_method);
  request.target(aParts.m_target);
  for (const HttpHeader& header : aParts.m_headers) {
    request.insert(header.m_name, header.m_value);
  }
  request.body() = std::move(aParts.m_body);
  request.prepare_payload();
  return request;
}

/// True when no input has arrived and the peer has not closed the connection.
bool
HasNoInput(tcp::socket& aSocket)
{
  boost::system::error_code error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

/// How long the connection may be reused: the "timeout" parameter of the
/// Keep-Alive header less a margin, at most kIdleLimit.
Duration
ReuseTime(std::string_view aKeepAlive)
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = aKeepAlive.find(kTimeout);
  std::uint32_t seconds = 0;
  if (at == std::string_view::npos) {
    return kIdleLimit;
  }
  const std::string_view text = aKeepAlive.substr(at + kTimeout.size());
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::min<Duration>(
    kIdleLimit, Duration(std::chrono::seconds(seconds)) / kIdleTimeoutDivisor);
}

class Run final
  : public UpstreamRun
  , public std::enable_shared_from_this<Run>
{
public:
  Run(asio::io_context& aContext,
      const Clock& aClock,
      std::shared_ptr<const UpstreamDialect> aDialect,
      std::shared_ptr<Connections> aConnections,
      Call aCall,
      UpstreamPool::MayResend aMayResend)
    : m_context(aContext)
    , m_clock(aClock)
    , m_dialect(std::move(aDialect))
    , m_connections(std::move(aConnections))
    , m_call(std::move(aCall))
    , m_mayResend(std::move(aMayResend))
    , m_connection{ tcp::socket(aContext) }
    , m_timer(aContext)
    , m_writeEnded(aContext, asio::steady_timer::time_point::max())
  {
  }

  void Abort() override
  {
    m_isAborted = true;
    boost::system::error_code ignored;
    m_connection.m_socket.close(ignored);
  }

  asio::awaitable<void> Execute(UpstreamPool::Done aDone)
  {
    const auto self = shared_from_this();
    const MonotonicTime start = m_clock.Now();
    m_deadline = start + std::max(m_call.m_timeRemaining, Duration(0));
    Answer answer = co_await Exchange();
    m_timer.cancel();
    answer.m_id = m_call.m_id;
    answer.m_serviceTime = m_clock.Now() - start;
    aDone(std::move(answer));
  }

private:
  /// State of the write of the request.
  enum class Writing : std::uint8_t
  {
    InProgress,
    Complete,
    Failed,
  };

  asio::awaitable<Answer> Exchange()
  {
    Answer answer;
    std::optional<Parser> parser;
    TryResult tried = co_await ExchangeOnce(parser);
    const bool isConnectionStale =
      tried && *tried && m_isReused && !m_isAborted && !parser->got_some();
    if (isConnectionStale && m_mayResend &&
        m_mayResend(m_clock.Now() - m_sentAt)) {
      // The upstream may have dropped the other connections too.
      m_connections->m_idle.clear();
      boost::system::error_code ignored;
      m_connection.m_socket.close(ignored);
      m_connection = Connection{ tcp::socket(m_context) };
      tried = co_await ExchangeOnce(parser);
    }
    if (!tried) {
      answer.m_outcome = CallOutcome::NotRun;
      answer.m_refusal = RefusalReason::UpstreamGone;
      co_return answer;
    }
    if (*tried || m_isAborted) {
      if (m_isAborted && !parser->got_some()) {
        // The upstream may have become unreachable over the idle connections.
        m_connections->m_idle.clear();
      }
      // The write of the request may still be in progress and hold the socket.
      Abort();
      co_return answer;
    }
    const bool isReusable = m_writing == Writing::Complete &&
                            parser->get().keep_alive() &&
                            m_connection.m_buffer.size() == 0;
    m_connection.m_idleSince = m_clock.Now();
    m_connection.m_reusableUntil =
      m_connection.m_idleSince +
      ReuseTime(parser->get()[http::field::keep_alive]);
    Fill(answer, parser->release());
    // A faulty upstream may repeat a refusal, which would then pass for the
    // refusal of a later call on the connection.
    Keep(isReusable && answer.m_outcome == CallOutcome::Done);
    co_return answer;
  }

  /// Error of sending and reading; not set when there was no connection, so
  /// that nothing was sent.
  using TryResult = std::optional<boost::system::error_code>;

  /// Sends the call over an idle connection or a new one and reads the answer.
  asio::awaitable<TryResult> ExchangeOnce(std::optional<Parser>& aParser)
  {
    if (!co_await Connect()) {
      co_return std::nullopt;
    }
    AbortAt(m_deadline);
    m_sentAt = m_clock.Now();
    m_call.m_timeRemaining = m_deadline - m_sentAt;
    StartWrite();
    m_connection.m_buffer.reserve(kReadBytes);
    for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
      aParser.emplace();
      aParser->body_limit(kMaxCallBytes.Value());
      aParser->skip(m_call.m_http.m_method == "HEAD");
      const auto [error, received] = co_await http::async_read(
        m_connection.m_socket, m_connection.m_buffer, *aParser, kAwait);
      if (error) {
        co_return error;
      }
      const unsigned status = aParser->get().result_int();
      if (IsFinalStatus(status)) {
        // GCC 12 awaits in both branches of a conditional expression.
        if (aParser->need_eof()) {
          co_return co_await ErrorAtEnd();
        }
        co_return error;
      }
      if (!IsInterimStatus(status)) {
        break;
      }
    }
    co_return make_error_code(http::error::bad_status);
  }

  /// Error of an answer that ended with its connection. A reset is reported to
  /// one operation only: if that is the write of the request, the read sees an
  /// ordinary end. Thus waits until the write has ended; if the request was not
  /// written whole, nothing shows that the answer is.
  asio::awaitable<boost::system::error_code> ErrorAtEnd()
  {
    while (m_writing == Writing::InProgress) {
      co_await m_writeEnded.async_wait(kAwait);
    }
    co_return m_writing == Writing::Complete
      ? boost::system::error_code()
      : make_error_code(http::error::partial_message);
  }

  /// Starts to write the request. The answer is read concurrently: an upstream
  /// may answer before it has read the whole request.
  void StartWrite()
  {
    m_writing = Writing::InProgress;
    m_request = std::make_shared<Request>(
      ToBeast(m_dialect->Write(m_call, m_connections->m_endpoint)));
    http::async_write(m_connection.m_socket,
                      *m_request,
                      [self = shared_from_this(), request = m_request](
                        const boost::system::error_code& aError, std::size_t) {
                        if (request == self->m_request) {
                          self->m_writing =
                            aError ? Writing::Failed : Writing::Complete;
                          self->m_writeEnded.cancel();
                        }
                      });
  }

  /// True when the call may be sent again, or when the connection has been idle
  /// for so short a time that the upstream can't have dropped it.
  bool IsRecentEnough(const Connection& aConnection, MonotonicTime aNow) const
  {
    return m_call.m_idempotent ||
           aNow - aConnection.m_idleSince < kNonIdempotentIdleLimit;
  }

  void AbortAt(MonotonicTime aTime)
  {
    m_abortAt = aTime;
    m_timer.expires_after(std::max(aTime - m_clock.Now(), Duration(0)));
    m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
      const auto run = weak.lock();
      // A handler of the connect time limit may still be queued when the call
      // has begun.
      if (!aError && run && run->m_clock.Now() >= run->m_abortAt) {
        run->Abort();
      }
    });
  }

  asio::awaitable<bool> Connect()
  {
    const MonotonicTime now = m_clock.Now();
    m_isReused = false;
    // The last entry has been idle for the shortest time.
    while (!m_connections->m_idle.empty()) {
      const bool isUnexpired =
        now < m_connections->m_idle.back().m_reusableUntil;
      if (isUnexpired && !IsRecentEnough(m_connections->m_idle.back(), now)) {
        break;
      }
      Connection connection = std::move(m_connections->m_idle.back());
      m_connections->m_idle.pop_back();
      if (isUnexpired && HasNoInput(connection.m_socket)) {
        m_connection = std::move(connection);
        m_isReused = true;
        co_return true;
      }
    }
    if (m_isAborted) {
      co_return false;
    }
    AbortAt(std::min(m_deadline, now + kConnectLimit));
    const auto endpoint = EndpointOf<tcp>(m_connections->m_endpoint.m_address);
    const auto [error] =
      co_await m_connection.m_socket.async_connect(endpoint, kAwait);
    if (error || m_isAborted) {
      co_return false;
    }
    boost::system::error_code ignored;
    m_connection.m_socket.set_option(tcp::no_delay(true), ignored);
    co_return true;
  }

  void Keep(bool aMayKeep)
  {
    if (aMayKeep && m_connections->m_idle.size() < UpstreamPool::kMaxIdle) {
      m_connections->m_idle.push_back(std::move(m_connection));
    } else {
      Abort();
    }
  }

  void Fill(Answer& aAnswer, http::response<http::string_body>&& aResponse)
  {
    aAnswer.m_http.m_status =
      static_cast<std::uint16_t>(aResponse.result_int());
    aAnswer.m_http.m_headers = EndToEndHeaders(aResponse);
    aAnswer.m_http.m_body = std::move(aResponse.body());
    switch (m_dialect->Judge(m_call, aAnswer.m_http)) {
      case UpstreamVerdict::Ran:
        aAnswer.m_outcome = CallOutcome::Done;
        aAnswer.m_notice = m_dialect->ReadNotice(aAnswer.m_http);
        break;
      case UpstreamVerdict::Shed:
        aAnswer.m_notice = m_dialect->ReadNotice(aAnswer.m_http);
        aAnswer.m_outcome = CallOutcome::NotRun;
        aAnswer.m_refusal = RefusalReason::UpstreamShed;
        break;
      case UpstreamVerdict::OtherUpstream:
        aAnswer.m_outcome = CallOutcome::NotRun;
        aAnswer.m_refusal = RefusalReason::UpstreamGone;
        break;
      case UpstreamVerdict::Unrelated:
        aAnswer.m_http = {};
        break;
    }
  }

  asio::io_context& m_context;
  const Clock& m_clock;
  std::shared_ptr<const UpstreamDialect> m_dialect;
  std::shared_ptr<Connections> m_connections;
  Call m_call;
  UpstreamPool::MayResend m_mayResend;
  Connection m_connection;
  /// Shared with its write operation, which may outlast ExchangeOnce.
  std::shared_ptr<Request> m_request;
  bool m_isReused = false;
  asio::steady_timer m_timer;
  /// Never expires; cancelled when the write of the request has ended.
  asio::steady_timer m_writeEnded;
  MonotonicTime m_deadline{};
  MonotonicTime m_sentAt{};
  MonotonicTime m_abortAt{};
  Writing m_writing = Writing::InProgress;
  bool m_isAborted = false;
};

class HttpUpstreamPool final : public UpstreamPool
{
public:
  HttpUpstreamPool(asio::io_context& aContext,
                   const Clock& aClock,
                   std::shared_ptr<const UpstreamDialect> aDialect)
    : m_context(aContext)
    , m_clock(aClock)
    , m_dialect(std::move(aDialect))
    , m_connections(std::make_shared<Connections>())
  {
  }

  void SetEndpoint(const UpstreamEndpoint& aEndpoint) override
  {
    if (aEndpoint != m_connections->m_endpoint) {
      m_connections = std::make_shared<Connections>();
      m_connections->m_endpoint = aEndpoint;
    }
  }

  std::shared_ptr<UpstreamRun> Start(Call aCall,
                                     Done aDone,
                                     MayResend aMayResend) override
  {
    auto run = std::make_shared<Run>(m_context,
                                     m_clock,
                                     m_dialect,
                                     m_connections,
                                     std::move(aCall),
                                     std::move(aMayResend));
    asio::co_spawn(
      m_context,
      [run, done = std::move(aDone)]() mutable {
        return run->Execute(std::move(done));
      },
      asio::detached);
    return run;
  }

private:
  asio::io_context& m_context;
  const Clock& m_clock;
  std::shared_ptr<const UpstreamDialect> m_dialect;
  std::shared_ptr<Connections> m_connections;
};

} // namespace

std::unique_ptr<UpstreamPool>
UpstreamPool::Create(asio::io_context& aContext,
                     const Clock& aClock,
                     std::shared_ptr<const UpstreamDialect> aDialect)
{
  return std::make_unique<HttpUpstreamPool>(
    aContext, aClock, std::move(aDialect));
}

} // namespace tarragontray
