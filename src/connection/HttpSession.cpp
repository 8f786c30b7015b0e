#include "connection/HttpSession.h"

#include <algorithm>
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
constexpr std::size_t kMinReadBytes = 512;
/// Longest wait for the caller to close the connection after the last answer.
constexpr Duration kLingerLimit = std::chrono::seconds(1);
/// Number of checks of a session within the shorter of its time limits.
constexpr int kChecksPerLimit = 4;
/// Least rate at which a body must arrive on average.
constexpr std::uint64_t kMinBodyBytesPerSecond = 1U << 10U;
/// \name Estimates of the memory that is taken besides texts
/// \{
/// A session with its coroutine, besides its buffer.
constexpr std::size_t kSessionBytes = 6U << 10U;
/// A request that waits or runs.
constexpr std::size_t kRequestBytes = 8U << 10U;
/// One header field, parsed and copied.
constexpr std::size_t kFieldBytes = 160;
/// \}
/// Least time between two calls of m_onLimited.
constexpr Duration kNoticeInterval = std::chrono::seconds(10);
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
  /// Memory of the request, or of its answer.
  std::size_t m_bytes = 0;
  asio::cancellation_signal m_cancel;
};

/// Implementation of HttpSession with Beast.
class Session final
  : public HttpSession
  , public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket,
          CallerSession aNumber,
          std::shared_ptr<HttpServerState> aState)
    : m_socket(std::move(aSocket))
    , m_number(aNumber)
    , m_state(std::move(aState))
    , m_timer(m_socket.get_executor())
    , m_exchangeEnded(m_socket.get_executor(),
                      asio::steady_timer::time_point::max())
  {
    m_buffer.max_size(m_state->m_settings.m_maxHeaderBytes + kMaxUnparsedBytes);
    m_state->Register(m_number, *this);
  }
  ~Session() override { m_state->Close(m_number); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  asio::awaitable<void> Run() override
  {
    const auto self = shared_from_this();
    m_buffer.reserve(kReadBytes);
    Report();
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
    } else if (m_exchanges.empty() && !m_isLingering && !HasInput()) {
      // Ends Run, unless the read has already completed with a request.
      boost::system::error_code ignored;
      m_socket.cancel(ignored);
    }
  }

  void Evict() override
  {
    if (m_isClosed) {
      return;
    }
    if (IsOnlyReading()) {
      Interrupt(503, "not run: too little memory for the request\n");
      m_state->Update(m_number, Holding());
    } else {
      Close();
    }
  }

  void Abort() override { Close(); }

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
    m_state->Close(m_number);
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

  /// Whether input has arrived that was not read yet.
  bool HasInput() const
  {
    boost::system::error_code ignored;
    return m_socket.available(ignored) > 0;
  }

  bool IsPipelineFull() const
  {
    const HttpServerSettings& settings = m_state->m_settings;
    return m_exchanges.size() >= settings.m_maxPipelined ||
           (m_exchanges.size() > 1 &&
            m_queuedBytes >= settings.m_maxPipelinedBytes);
  }

  asio::awaitable<void> ReadOne()
  {
    while (IsPipelineFull() && !m_isClosed) {
      co_await m_exchangeEnded.async_wait(kAwait);
    }
    Parser parser;
    parser.header_limit(m_state->m_settings.m_maxHeaderBytes);
    parser.body_limit(m_state->m_settings.m_maxBodyBytes);
    parser.eager(true);
    m_parser = &parser;
    m_headBytes = 0;
    const boost::system::error_code error = co_await ReadRequest(parser);
    m_parser = nullptr;
    m_requestBegan.reset();
    m_readingBytes = 0;
    // Input after the last request of a session is ignored.
    if (m_isClosed || m_isLastRead) {
      Report();
      co_return;
    }
    if (error) {
      RefuseUnreadable(error, parser.got_some());
      co_return;
    }
    Dispatch(parser);
  }

  /// Reads until the request is complete or refused.
  asio::awaitable<boost::system::error_code> ReadRequest(Parser& aParser)
  {
    boost::system::error_code error;
    while (true) {
      std::size_t used = m_buffer.size();
      while (used > 0 && m_buffer.size() > 0 && !error && !aParser.is_done()) {
        used = aParser.put(m_buffer.data(), error);
        m_buffer.consume(used);
      }
      if (m_state->m_isDraining && aParser.got_some()) {
        ReportBegin();
      }
      if (error && error != http::error::need_more) {
        co_return error;
      }
      if (m_headBytes == 0 && aParser.is_header_done() &&
          !AcceptHead(aParser)) {
        co_return boost::system::error_code();
      }
      if (aParser.is_done()) {
        co_return boost::system::error_code();
      }
      ReportReading(aParser);
      if (m_isClosed || m_isLastRead) {
        co_return boost::system::error_code();
      }
      error = co_await ReadSome();
      if (error || m_isClosed || m_isLastRead) {
        co_return error;
      }
      m_lastProgress = Now();
    }
  }

  /// Reports the memory of a request whose head has been read. May close the
  /// session or refuse the request.
  void ReportReading(const Parser& aParser)
  {
    if (m_headBytes > 0) {
      const std::string& body = aParser.get().body();
      // Of a body of known length, only the received part takes memory.
      m_readingBytes =
        m_headBytes +
        (aParser.content_length() ? body.size() : body.capacity());
    }
    if (aParser.got_some()) {
      Report();
    }
  }

  asio::awaitable<boost::system::error_code> ReadSome()
  {
    const std::size_t free = m_buffer.capacity() - m_buffer.size();
    const std::size_t size = std::min(std::max(free, kMinReadBytes),
                                      m_buffer.max_size() - m_buffer.size());
    if (size == 0) {
      co_return make_error_code(http::error::buffer_overflow);
    }
    const auto [error, read] =
      co_await m_socket.async_read_some(m_buffer.prepare(size), kAwait);
    m_buffer.commit(read);
    co_return error;
  }

  /// Checks the head of a request before its body is read. \return false when
  /// the request was refused.
  bool AcceptHead(const Parser& aParser)
  {
    const auto& request = aParser.get();
    std::size_t fields = 0;
    m_headBytes = kRequestBytes;
    for (const auto& field : request) {
      ++fields;
      m_headBytes +=
        kFieldBytes + field.name_string().size() + field.value().size();
    }
    if (fields > m_state->m_settings.m_maxHeaderFields) {
      m_state->Count(&CallerLimitCounters::m_oversized);
      Refuse(431, "not run: too many header fields\n");
      return false;
    }
    const std::uint64_t length = aParser.content_length().value_or(0);
    if (!m_state->MakeRoom(m_number,
                           ByteCount(m_headBytes + length),
                           aParser.chunked() || length > 0)) {
      m_state->Count(&CallerLimitCounters::m_refusedForMemory);
      Refuse(503, "not run: too little memory for the request\n");
      return false;
    }
    return true;
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
    exchange->m_bytes = m_headBytes + aParser.get().body().size();
    m_queuedBytes += exchange->m_bytes;
    m_exchanges.push_back(exchange);
    m_lastProgress = Now();
    // The signal must outlive the coroutine that is bound to its slot.
    asio::co_spawn(
      m_socket.get_executor(),
      Serve(exchange, PartsOf(aParser.release())),
      asio::bind_cancellation_slot(
        exchange->m_cancel.slot(),
        [self = shared_from_this(), exchange](const std::exception_ptr&) {}));
    Report();
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
    m_queuedBytes -= aExchange->m_bytes;
    aExchange->m_bytes = BytesOf(*aExchange->m_answer);
    m_queuedBytes += aExchange->m_bytes;
    WriteReady();
    Report();
  }

  static std::size_t BytesOf(const HttpAnswerParts& aAnswer)
  {
    std::size_t bytes = aAnswer.m_body.size();
    for (const HttpHeader& header : aAnswer.m_headers) {
      bytes += kFieldBytes + header.m_name.size() + header.m_value.size();
    }
    return bytes;
  }

  /// Ends the session after a request that could not be read: with an error
  /// answer if there is a status for it, otherwise at once, because the caller
  /// has disconnected.
  void RefuseUnreadable(const boost::system::error_code& aError, bool aGotSome)
  {
    const std::uint16_t status = StatusOf(aError);
    if (status == 0 || !aGotSome) {
      m_isLastRead = true;
      Close();
      return;
    }
    if (status != 400) {
      m_state->Count(&CallerLimitCounters::m_oversized);
    }
    Refuse(status, aError.message() + "\n");
  }

  /// Ends the session with an answer to the request that is being read, after
  /// the answers to earlier requests.
  void Refuse(std::uint16_t aStatus, const std::string& aText)
  {
    m_isLastRead = true;
    ++m_state->m_counters.m_badRequests;
    if (!std::exchange(m_isBeginReported, false)) {
      Notify(m_state->m_settings.m_onBegin);
    }
    const auto exchange = std::make_shared<ServerExchange>();
    exchange->m_keepsAlive = false;
    exchange->m_answer = TextAnswer(aStatus, aText);
    if (aStatus == 503) {
      exchange->m_answer->m_headers.push_back({ "retry-after", "1" });
    }
    m_exchanges.push_back(exchange);
    WriteReady();
  }

  /// Whether a request is being read, and no other waits or runs.
  bool IsOnlyReading() const
  {
    return m_parser != nullptr && m_parser->got_some() && m_exchanges.empty() &&
           !m_isLastRead;
  }

  /// Refuses the request that is being read and frees its memory.
  /// Precondition: IsOnlyReading(), so that nothing is being written.
  void Interrupt(std::uint16_t aStatus, const std::string& aText)
  {
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
    m_readingBytes = 0;
    Refuse(aStatus, aText);
  }

  /// After the last request: closes the session if the caller disconnects.
  asio::awaitable<void> WaitForCaller()
  {
    m_buffer.clear();
    const auto [error, size] =
      co_await m_socket.async_read_some(m_buffer.prepare(kReadBytes), kAwait);
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
    m_serializer.emplace(m_response);
    WriteSome();
  }

  /// Writes in several operations what the socket doesn't take at once, so that
  /// a caller that reads slowly is told from one that doesn't read.
  void WriteSome()
  {
    http::async_write_some(
      m_socket,
      *m_serializer,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t) {
        if (aError || self->m_serializer->is_done()) {
          self->OnWritten(aError);
          return;
        }
        self->m_lastProgress = Now();
        self->Report();
        self->WriteSome();
      });
  }

  void OnWritten(const boost::system::error_code& aError)
  {
    m_isWriting = false;
    m_lastProgress = Now();
    m_queuedBytes -= m_exchanges.front()->m_bytes;
    m_exchanges.pop_front();
    m_response = {};
    Notify(m_state->m_settings.m_onEnd);
    // A request may have arrived before the answer told the caller to close.
    const bool isRequestUnread = m_parser != nullptr && HasInput();
    const bool isDrained = m_state->m_isDraining && m_exchanges.empty() &&
                           !m_isBeginReported && !isRequestUnread;
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
    Report();
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
    CloseAfterLinger();
  }

  void CloseAfterLinger()
  {
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
    const bool isSlow = m_requestBegan && now - *m_requestBegan >= ReadLimit();
    if (isIdle || isSlow) {
      CloseSlow();
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

  /// Time limit of the request that is being read.
  Duration ReadLimit() const
  {
    const std::size_t body = m_parser->is_header_done()
                               ? m_parser->get().body().size()
                               : std::size_t(0);
    return m_state->m_settings.m_requestLimit +
           std::chrono::seconds(body / kMinBodyBytesPerSecond);
  }

  /// Ends a session whose caller is too slow; one without a request just ends.
  void CloseSlow()
  {
    if (m_parser == nullptr || m_parser->got_some() || m_isWriting) {
      m_state->Count(&CallerLimitCounters::m_slow);
    }
    if (!IsOnlyReading()) {
      Close();
      return;
    }
    Interrupt(408, "not run: the request was sent too slowly\n");
    // The answer is written, or the session closed, within the linger time.
    CloseAfterLinger();
  }

  /// What the budget is told.
  CallerHolding Holding() const
  {
    CallerHolding holding;
    holding.m_bytes = ByteCount(kSessionBytes + m_buffer.capacity() +
                                m_readingBytes + m_queuedBytes);
    holding.m_lastProgress = m_lastProgress;
    holding.m_isServed = !m_exchanges.empty() && !m_exchanges.front()->m_answer;
    return holding;
  }

  /// Reports what the session holds; may close it.
  void Report()
  {
    if (!m_isClosed) {
      m_state->Report(m_number, Holding());
    }
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
  const CallerSession m_number;
  std::shared_ptr<HttpServerState> m_state;
  beast::flat_buffer m_buffer;
  Exchanges m_exchanges;
  http::response<http::string_body> m_response;
  std::optional<http::response_serializer<http::string_body>> m_serializer;
  asio::steady_timer m_timer;
  /// Never expires; cancelled when an exchange has ended.
  asio::steady_timer m_exchangeEnded;
  /// Parser of the request that is being read, or null.
  const Parser* m_parser = nullptr;
  std::chrono::steady_clock::time_point m_lastProgress = Now();
  std::optional<std::chrono::steady_clock::time_point> m_requestBegan;
  /// Memory of the head that is being read; 0 before it is complete.
  std::size_t m_headBytes = 0;
  /// Memory of the request that is being read.
  std::size_t m_readingBytes = 0;
  /// Memory of all exchanges.
  std::size_t m_queuedBytes = 0;
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

HttpServerState::HttpServerState(const HttpServerSettings& aSettings,
                                 HttpHandler aHandler)
  : m_settings(aSettings)
  , m_handler(std::move(aHandler))
  , m_budget(aSettings.m_budget)
  , m_limited(aSettings.m_counters ? aSettings.m_counters
                                   : std::make_shared<CallerLimitCounters>())
{
}

HttpServerState::~HttpServerState() = default;

std::optional<CallerSession>
HttpServerState::Open()
{
  const CallerSession number(m_last.Value() + 1);
  const CallerBudget::Opening opening =
    m_budget.Open(number, std::chrono::steady_clock::now());
  if (opening.m_close) {
    m_open.at(*opening.m_close)->Abort();
  }
  if (opening.m_close || !opening.m_isAccepted) {
    Count(&CallerLimitCounters::m_surplusSessions);
  }
  if (!opening.m_isAccepted) {
    return std::nullopt;
  }
  m_last = number;
  ++m_limited->m_sessions;
  return number;
}

void
HttpServerState::Register(CallerSession aNumber, HttpSession& aSession)
{
  m_open[aNumber] = &aSession;
}

void
HttpServerState::Close(CallerSession aNumber)
{
  if (m_open.erase(aNumber) == 0) {
    return;
  }
  Update(aNumber, CallerHolding());
  m_budget.Close(aNumber);
  --m_limited->m_sessions;
}

void
HttpServerState::Update(CallerSession aNumber, const CallerHolding& aHolding)
{
  const ByteCount before = m_budget.Held();
  m_budget.Report(aNumber, aHolding);
  // Wraps when the difference is negative, and so does the sum.
  m_limited->m_heldBytes.fetch_add(m_budget.Held().Value() - before.Value(),
                                   std::memory_order_relaxed);
}

void
HttpServerState::Report(CallerSession aNumber, const CallerHolding& aHolding)
{
  Update(aNumber, aHolding);
  const MonotonicTime now = std::chrono::steady_clock::now();
  while (const auto excess = m_budget.NextExcess(now)) {
    m_budget.SetClosing(*excess);
    Count(&CallerLimitCounters::m_closedForMemory);
    m_open.at(*excess)->Evict();
  }
}

bool
HttpServerState::MakeRoom(CallerSession aFor, ByteCount aBytes, bool aHasBody)
{
  while (!m_budget.Fits(aBytes, aHasBody)) {
    const auto stalled =
      m_budget.NextStalled(aFor, std::chrono::steady_clock::now());
    if (!stalled) {
      return false;
    }
    m_budget.SetClosing(*stalled);
    Count(&CallerLimitCounters::m_closedForMemory);
    m_open.at(*stalled)->Evict();
  }
  return true;
}

void
HttpServerState::Count(LimitCounter aCounter)
{
  CallerLimitCounters& limited = *m_limited;
  ++(limited.*aCounter);
  const MonotonicTime now = std::chrono::steady_clock::now();
  if (m_settings.m_onLimited && now >= m_nextNotice) {
    m_nextNotice = now + kNoticeInterval;
    m_settings.m_onLimited(limited);
  }
}

std::shared_ptr<HttpSession>
HttpSession::Create(tcp::socket aSocket,
                    CallerSession aNumber,
                    std::shared_ptr<HttpServerState> aState)
{
  return std::make_shared<Session>(
    std::move(aSocket), aNumber, std::move(aState));
}

} // namespace tarragontray
