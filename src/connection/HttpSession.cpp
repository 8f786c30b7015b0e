#include "connection/HttpSession.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "connection/HttpFields.h"

namespace tarragontray {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Maximum size of one read; Beast reads no more than the buffer's capacity.
constexpr std::size_t kReadBytes = 8U << 10U;
/// Longest wait for the caller to close the connection after the last answer.
constexpr Duration kLingerLimit = std::chrono::seconds(1);
/// Number of checks of a session within the shorter of its time limits.
constexpr int kChecksPerLimit = 4;
using Parser = http::request_parser<http::string_body>;

HttpRequestParts
PartsOf(http::request<http::string_body>&& aRequest)
{
  HttpRequestParts parts;
  parts.m_method = std::string(aRequest.method_string());
  parts.m_target = std::string(aRequest.target());
  parts.m_headers = EndToEndHeaders(aRequest);
  parts.m_body = std::move(aRequest.body());
  return parts;
}

/// \param aKeepsAlive false when the answer ends the session.
http::response<http::string_body>
ResponseOf(HttpAnswerParts&& aAnswer, bool aKeepsAlive, bool aIsHead)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(aAnswer.m_status);
  for (const HttpHeader& header : aAnswer.m_headers) {
    response.insert(header.m_name, header.m_value);
  }
  response.keep_alive(aKeepsAlive);
  response.content_length(aAnswer.m_body.size());
  if (!aIsHead) {
    response.body() = std::move(aAnswer.m_body);
  }
  return response;
}

/// The status of the answer to a request that could not be read; 0 when no
/// answer is to be sent.
std::uint16_t
StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit) {
    return 431;
  }
  const bool isMalformed =
    aError.category() == make_error_code(http::error::bad_version).category();
  return isMalformed && aError != http::error::end_of_stream &&
             aError != http::error::partial_message
           ? 400
           : 0;
}

/// One request of a session, and its answer once the handler has returned.
struct ServerExchange
{
  bool m_isHead = false;
  bool m_keepsAlive = true;
  std::optional<HttpAnswerParts> m_answer;
  asio::cancellation_signal m_cancel;
};

/// Implementation of HttpSession with Beast.
class Session final
  : public HttpSession
  , public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<HttpServerState> aState)
    : m_socket(std::move(aSocket))
    , m_state(std::move(aState))
    , m_timer(m_socket.get_executor())
    , m_exchangeEnded(m_socket.get_executor(),
                      asio::steady_timer::time_point::max())
  {
    m_buffer.max_size(m_state->m_settings.m_maxHeaderBytes + kMaxUnparsedBytes);
  }

  asio::awaitable<void> Run() override
  {
    const auto self = shared_from_this();
    m_buffer.reserve(kReadBytes);
    CheckLimits();
    while (!m_isClosed && !m_isLastRead && !m_state->m_isDraining) {
      co_await ReadOne();
    }
    while (!m_isClosed && (m_isLingering || !m_exchanges.empty())) {
      co_await WaitForCaller();
    }
    Close();
  }

  void Drain() override
  {
    if (m_parser != nullptr && m_parser->got_some()) {
      ReportBegin();
    } else if (m_exchanges.empty()) {
      Close();
    }
  }

private:
  using Exchanges = std::deque<std::shared_ptr<ServerExchange>>;

  void Close()
  {
    if (std::exchange(m_isClosed, true)) {
      return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_timer.cancel();
    m_exchangeEnded.cancel();
    if (m_isBeginReported) {
      ReportEnd();
    }
    for (std::size_t i = 0; i < m_exchanges.size(); ++i) {
      if (!m_exchanges[i]->m_answer) {
        ++m_state->m_counters.m_abandoned;
        m_exchanges[i]->m_cancel.emit(asio::cancellation_type::terminal);
      } else if (i > 0 || !m_isWriting) {
        Notify(m_state->m_settings.m_onEnd);
      }
    }
  }

  asio::awaitable<void> ReadOne()
  {
    while (m_exchanges.size() >= m_state->m_settings.m_maxPipelined &&
           !m_isClosed) {
      co_await m_exchangeEnded.async_wait(kAwait);
    }
    Parser parser;
    parser.header_limit(m_state->m_settings.m_maxHeaderBytes);
    parser.body_limit(m_state->m_settings.m_maxBodyBytes);
    m_parser = &parser;
    const auto [error, size] =
      co_await http::async_read(m_socket, m_buffer, parser, kAwait);
    m_parser = nullptr;
    m_requestBegan.reset();
    // Input after the last request of a session is ignored.
    if (m_isClosed || m_isLastRead) {
      co_return;
    }
    if (error) {
      Refuse(error, parser.got_some());
      co_return;
    }
    Dispatch(parser);
  }

  void Dispatch(Parser& aParser)
  {
    ++m_state->m_counters.m_requests;
    if (!std::exchange(m_isBeginReported, false)) {
      Notify(m_state->m_settings.m_onBegin);
    }
    const auto exchange = std::make_shared<ServerExchange>();
    exchange->m_keepsAlive = aParser.get().keep_alive();
    exchange->m_isHead = aParser.get().method() == http::verb::head;
    m_isLastRead = !exchange->m_keepsAlive;
    m_exchanges.push_back(exchange);
    m_lastProgress = Now();
    // The signal must outlive the coroutine that is bound to its slot.
    asio::co_spawn(
      m_socket.get_executor(),
      Serve(exchange, PartsOf(aParser.release())),
      asio::bind_cancellation_slot(
        exchange->m_cancel.slot(),
        [self = shared_from_this(), exchange](const std::exception_ptr&) {}));
  }

  asio::awaitable<void> Serve(std::shared_ptr<ServerExchange> aExchange,
                              HttpRequestParts aRequest)
  {
    const auto self = shared_from_this();
    co_await asio::this_coro::throw_if_cancelled(false);
    aExchange->m_answer = co_await m_state->m_handler(std::move(aRequest));
    if (m_isClosed) {
      Notify(m_state->m_settings.m_onEnd);
      co_return;
    }
    WriteReady();
  }

  /// Ends the session after a request that could not be read: with an error
  /// answer, after the answers to earlier requests, if there is a status for
  /// it; otherwise at once, because the caller has disconnected.
  void Refuse(const boost::system::error_code& aError, bool aGotSome)
  {
    m_isLastRead = true;
    const std::uint16_t status = StatusOf(aError);
    if (status == 0 || !aGotSome) {
      Close();
      return;
    }
    ++m_state->m_counters.m_badRequests;
    if (!std::exchange(m_isBeginReported, false)) {
      Notify(m_state->m_settings.m_onBegin);
    }
    const auto exchange = std::make_shared<ServerExchange>();
    exchange->m_keepsAlive = false;
    exchange->m_answer = TextAnswer(status, aError.message() + "\n");
    m_exchanges.push_back(exchange);
    WriteReady();
  }

  /// After the last request: closes the session if the caller disconnects.
  asio::awaitable<void> WaitForCaller()
  {
    std::array<char, 256> ignored{};
    const auto [error, size] =
      co_await m_socket.async_read_some(asio::buffer(ignored), kAwait);
    if (error) {
      Close();
    }
  }

  /// Starts to write the next answer if it is available.
  void WriteReady()
  {
    if (m_isWriting || m_isClosed || m_exchanges.empty() ||
        !m_exchanges.front()->m_answer) {
      return;
    }
    m_isWriting = true;
    ServerExchange& exchange = *m_exchanges.front();
    // If later requests have been read, the last of them ends the session.
    m_endsSession = !exchange.m_keepsAlive ||
                    (m_state->m_isLeaving && m_exchanges.size() == 1);
    m_isLastRead |= m_endsSession;
    m_response = ResponseOf(
      std::move(*exchange.m_answer), !m_endsSession, exchange.m_isHead);
    http::async_write(
      m_socket,
      m_response,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t) { self->OnWritten(aError); });
  }

  void OnWritten(const boost::system::error_code& aError)
  {
    m_isWriting = false;
    m_lastProgress = Now();
    m_exchanges.pop_front();
    Notify(m_state->m_settings.m_onEnd);
    const bool isDrained =
      m_state->m_isDraining && m_exchanges.empty() && !m_isBeginReported;
    if (aError) {
      Close();
      return;
    }
    if (m_endsSession || isDrained) {
      Linger();
      return;
    }
    m_exchangeEnded.cancel();
    WriteReady();
  }

  /// Shuts down the sending side and discards further input. Closing a socket
  /// with unread input would reset the connection, and the last answer could be
  /// lost.
  void Linger()
  {
    m_isLastRead = true;
    m_isLingering = true;
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(kLingerLimit);
    m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->Close();
      }
    });
  }

  /// Closes the session when one of its time limits has passed. A single timer
  /// checks both limits at intervals, so that requests need no timers.
  void CheckLimits()
  {
    if (m_isClosed) {
      return;
    }
    const auto now = Now();
    const HttpServerSettings& settings = m_state->m_settings;
    const bool isReading = m_parser != nullptr && m_parser->got_some();
    if (!isReading) {
      m_requestBegan.reset();
    } else if (!m_requestBegan) {
      m_requestBegan = now;
    }
    const bool isServing = !m_exchanges.empty() && !m_isWriting;
    const bool isIdle =
      !isServing && now - m_lastProgress >= settings.m_idleLimit;
    const bool isSlow =
      m_requestBegan && now - *m_requestBegan >= settings.m_requestLimit;
    if (isIdle || isSlow) {
      Close();
      return;
    }
    m_timer.expires_after(
      std::min(settings.m_idleLimit, settings.m_requestLimit) /
      kChecksPerLimit);
    m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->CheckLimits();
      }
    });
  }

  static std::chrono::steady_clock::time_point Now()
  {
    return std::chrono::steady_clock::now();
  }

  void ReportBegin()
  {
    if (!std::exchange(m_isBeginReported, true)) {
      Notify(m_state->m_settings.m_onBegin);
    }
  }
  void ReportEnd()
  {
    m_isBeginReported = false;
    Notify(m_state->m_settings.m_onEnd);
  }
  static void Notify(const std::function<void()>& aEvent)
  {
    if (aEvent) {
      aEvent();
    }
  }

  tcp::socket m_socket;
  std::shared_ptr<HttpServerState> m_state;
  beast::flat_buffer m_buffer;
  Exchanges m_exchanges;
  http::response<http::string_body> m_response;
  asio::steady_timer m_timer;
  /// Never expires; cancelled when an exchange has ended.
  asio::steady_timer m_exchangeEnded;
  /// Parser of the request that is being read, or null.
  const Parser* m_parser = nullptr;
  std::chrono::steady_clock::time_point m_lastProgress = Now();
  std::optional<std::chrono::steady_clock::time_point> m_requestBegan;
  bool m_isWriting = false;
  bool m_endsSession = false;
  /// All answers are written; waits for the caller to close the connection.
  bool m_isLingering = false;
  /// The last request of the session has been read.
  bool m_isLastRead = false;
  /// m_onBegin was already called for the request that is being read.
  bool m_isBeginReported = false;
  bool m_isClosed = false;
};

} // namespace

std::shared_ptr<HttpSession>
HttpSession::Create(tcp::socket aSocket,
                    std::shared_ptr<HttpServerState> aState)
{
  return std::make_shared<Session>(std::move(aSocket), std::move(aState));
}

} // namespace tarragontray
