#include "connection/HttpClient.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "connection/HttpFields.h"
#include "connection/Sockets.h"

namespace tarragontray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Maximum size of one read; Beast reads no more than the buffer's capacity.
constexpr std::size_t kReadBytes = 8U << 10U;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

using Parser = http::response_parser<http::string_body>;

http::request<http::string_body>
ToBeast(const HttpRequestParts& aParts, const NetworkAddress& aPeer)
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aParts.m_method);
  request.target(aParts.m_target);
  request.set(http::field::host, aPeer.ToString());
  for (const HttpHeader& header : aParts.m_headers) {
    request.set(header.m_name, header.m_value);
  }
  request.body() = aParts.m_body;
  request.prepare_payload();
  return request;
}

HttpAnswerParts
FromBeast(http::response<http::string_body>&& aResponse)
{
  HttpAnswerParts parts;
  parts.m_status = static_cast<std::uint16_t>(aResponse.result_int());
  parts.m_headers = EndToEndHeaders(aResponse);
  parts.m_body = std::move(aResponse.body());
  return parts;
}

ErrorCode
CodeOf(const error_code& aError)
{
  if (aError == beast::error::timeout) {
    return ErrorCode::Timeout;
  }
  if (aError == http::error::body_limit ||
      aError == http::error::header_limit) {
    return ErrorCode::TooLarge;
  }
  const bool isTruncated = aError == http::error::end_of_stream ||
                           aError == http::error::partial_message;
  const bool isParseError =
    aError.category() == make_error_code(http::error::bad_version).category();
  return isParseError && !isTruncated ? ErrorCode::Malformed
                                      : ErrorCode::Closed;
}

} // namespace

/// The connection and the queue of calls. Pending handlers share ownership.
class HttpClient::Session
  : public std::enable_shared_from_this<HttpClient::Session>
{
public:
  Session(asio::io_context& aContext, HttpClientSettings aSettings)
    : m_context(aContext)
    , m_settings(std::move(aSettings))
  {
  }

  bool IsIdle() const { return !m_isRunning; }
  ByteCount BytesReceived() const { return ByteCount(m_bytesReceived); }

  void Send(HttpCall aCall, Callback aDone)
  {
    if (m_queue.size() >= m_settings.m_maxQueued) {
      Error error(ErrorCode::Unavailable,
                  aCall.m_step + ".queue",
                  m_settings.m_peer.ToString(),
                  "queue is full: " + std::to_string(m_queue.size()) +
                    " calls");
      asio::post(
        m_context,
        [done = std::move(aDone), error = std::move(error)]() { done(error); });
      return;
    }
    const auto deadline = std::chrono::steady_clock::now() + aCall.m_timeout;
    m_queue.push_back({ std::move(aCall), std::move(aDone), deadline });
    if (!m_isRunning) {
      m_isRunning = true;
      asio::co_spawn(m_context, Run(shared_from_this()), asio::detached);
    }
  }

  void DropIdleConnection()
  {
    if (!m_isRunning) {
      Disconnect();
    }
  }

  void Stop()
  {
    m_isStopped = true;
    m_queue.clear();
    Disconnect();
  }

private:
  struct Pending
  {
    HttpCall m_call;
    Callback m_done;
    std::chrono::steady_clock::time_point m_deadline;
  };

  /// Runs the queued calls until none is left; aSelf keeps the session alive.
  asio::awaitable<void> Run([[maybe_unused]] std::shared_ptr<Session> aSelf)
  {
    while (!m_queue.empty()) {
      Pending pending = std::move(m_queue.front());
      m_queue.pop_front();
      Result<HttpAnswerParts> answer = co_await Exchange(pending);
      if (m_isStopped) {
        co_return;
      }
      pending.m_done(std::move(answer));
    }
    m_isRunning = false;
    if (!m_isStopped) {
      WatchIdleConnection();
    }
  }

  asio::awaitable<Result<HttpAnswerParts>> Exchange(const Pending& aPending)
  {
    const bool isReused = m_stream.has_value();
    Result<HttpAnswerParts> answer = co_await TryOnce(aPending);
    const bool mayResend = m_settings.m_resendsGet && isReused && !answer &&
                           !m_isStopped &&
                           answer.error().Code() == ErrorCode::Closed &&
                           aPending.m_call.m_request.m_method == "GET";
    if (mayResend) {
      if (m_settings.m_onResend) {
        m_settings.m_onResend();
      }
      Result<HttpAnswerParts> second = co_await TryOnce(aPending);
      co_return second;
    }
    co_return answer;
  }

  asio::awaitable<Result<HttpAnswerParts>> TryOnce(const Pending& aPending)
  {
    if (!m_stream) {
      const error_code error = co_await Connect(aPending);
      if (error) {
        const bool isTimeout = error == beast::error::timeout;
        co_return Fail(aPending,
                       isTimeout ? ErrorCode::Timeout : ErrorCode::Unreachable,
                       ".connect",
                       error);
      }
    }
    m_stream->expires_at(aPending.m_deadline);
    const auto request = ToBeast(aPending.m_call.m_request, m_settings.m_peer);
    const auto [sendError, sent] =
      co_await http::async_write(*m_stream, request, kAwait);
    if (sendError) {
      co_return Fail(aPending, CodeOf(sendError), ".send", sendError);
    }
    std::optional<Parser> parser;
    error_code readError = co_await ReadResponse(aPending, parser);
    for (int i = 0; i < kMaxInterimResponses && IsInterim(readError, *parser);
         ++i) {
      readError = co_await ReadResponse(aPending, parser);
    }
    if (!readError && !IsFinalStatus(parser->get().result_int())) {
      readError = http::error::bad_status;
    }
    if (readError) {
      co_return Fail(aPending, CodeOf(readError), ".receive", readError);
    }
    m_stream->expires_never();
    if (!parser->keep_alive()) {
      Disconnect();
    }
    co_return FromBeast(parser->release());
  }

  static bool IsInterim(const error_code& aError, const Parser& aParser)
  {
    return !aError && IsInterimStatus(aParser.get().result_int());
  }

  /// Reads one response, which may be an interim one.
  asio::awaitable<error_code> ReadResponse(const Pending& aPending,
                                           std::optional<Parser>& aParser)
  {
    aParser.emplace();
    aParser->body_limit(m_settings.m_maxBody.Value());
    while (!aParser->is_done()) {
      const auto [error, received] =
        co_await http::async_read_some(*m_stream, m_buffer, *aParser, kAwait);
      if (error) {
        co_return error;
      }
      m_bytesReceived += received;
      m_stream->expires_at(NextReadDeadline(aPending));
    }
    co_return error_code();
  }

  std::chrono::steady_clock::time_point NextReadDeadline(
    const Pending& aPending) const
  {
    const auto next =
      std::chrono::steady_clock::now() + m_settings.m_pauseTimeout;
    const auto last = aPending.m_deadline + m_settings.m_maxDeadlineExtension;
    return std::max(aPending.m_deadline, std::min(next, last));
  }

  asio::awaitable<error_code> Connect(const Pending& aPending)
  {
    m_buffer.clear();
    m_buffer.reserve(kReadBytes);
    m_stream.emplace(m_context);
    const auto limit =
      std::chrono::steady_clock::now() + m_settings.m_connectTimeout;
    m_stream->expires_at(std::min(limit, aPending.m_deadline));
    const tcp::endpoint peer(asio::ip::address_v4(m_settings.m_peer.Ip()),
                             m_settings.m_peer.Port());
    const auto [error] = co_await m_stream->async_connect(peer, kAwait);
    if (!error && m_stream) {
      error_code ignored;
      m_stream->socket().set_option(tcp::no_delay(true), ignored);
      EnableDeadPeerDetection(m_stream->socket());
    }
    co_return error;
  }

  Error Fail(const Pending& aPending,
             ErrorCode aCode,
             const char* aSubStep,
             const error_code& aError)
  {
    Disconnect();
    return { aCode,
             aPending.m_call.m_step + aSubStep,
             m_settings.m_peer.ToString(),
             aError.message() };
  }

  void Disconnect()
  {
    if (m_stream) {
      m_stream->close();
    }
    // An operation on the stream of a stopped session may still be in progress.
    if (!m_isStopped) {
      m_stream.reset();
    }
  }

  /// Closes the connection when the peer closes it while no call runs.
  void WatchIdleConnection()
  {
    if (!m_stream) {
      return;
    }
    m_stream->socket().async_wait(
      tcp::socket::wait_read,
      [weak = weak_from_this()](const error_code& aError) {
        const auto self = weak.lock();
        if (self && !aError && !self->m_isRunning && !self->m_isStopped) {
          self->Disconnect();
        }
      });
  }

  asio::io_context& m_context;
  const HttpClientSettings m_settings;
  std::optional<beast::tcp_stream> m_stream;
  beast::flat_buffer m_buffer{ kMaxUnparsedBytes };
  std::deque<Pending> m_queue;
  std::uint64_t m_bytesReceived = 0;
  bool m_isRunning = false;
  bool m_isStopped = false;
};

HttpClient::HttpClient(std::shared_ptr<Session> aSession)
  : m_session(std::move(aSession))
{
}

HttpClient::~HttpClient()
{
  m_session->Stop();
}

std::unique_ptr<HttpClient>
HttpClient::Create(boost::asio::io_context& aContext,
                   HttpClientSettings aSettings)
{
  return std::unique_ptr<HttpClient>(
    new HttpClient(std::make_shared<Session>(aContext, std::move(aSettings))));
}

void
HttpClient::Send(HttpCall aCall, Callback aDone)
{
  m_session->Send(std::move(aCall), std::move(aDone));
}

void
HttpClient::DropIdleConnection()
{
  m_session->DropIdleConnection();
}

ByteCount
HttpClient::BytesReceived() const
{
  return m_session->BytesReceived();
}

bool
HttpClient::IsIdle() const
{
  return m_session->IsIdle();
}

} // namespace tarragontray
