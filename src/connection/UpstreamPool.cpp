#include "connection/UpstreamPool.h"

#include <algorithm>
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
constexpr std::uint64_t kMaxBodyBytes = 1U << 20U;
constexpr std::uint16_t kServiceUnavailable = 503;

/// What one read may take. Beast reads no more than the buffer's capacity and
/// at least 512 bytes, so that without it a large body comes in small pieces.
constexpr std::size_t kReadBytes = 16U << 10U;

/// A connection with the buffer that its calls reuse.
struct Connection
{
  tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
};

/// The idle connections; shared with runs so that they may outlive the pool.
struct Connections
{
  NetworkAddress m_address;
  std::vector<Connection> m_idle;
};

http::request<http::string_body>
RequestOf(const Call& aCall, const NetworkAddress& aUpstream)
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aCall.m_http.m_method);
  request.target(aCall.m_http.m_target);
  for (const HttpHeader& header : aCall.m_http.m_headers) {
    request.insert(header.m_name, header.m_value);
  }
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aCall.m_timeRemaining);
  request.set(http::field::host, aUpstream.ToString());
  request.set("x-operation-id", aCall.m_operation.Value());
  request.set("x-client-account", aCall.m_caller.Value());
  request.set("x-time-remaining-ms", std::to_string(remaining.count()));
  request.set("x-attempt", std::to_string(aCall.m_attempt));
  request.body() = aCall.m_http.m_body;
  request.prepare_payload();
  return request;
}

/// True while nothing has arrived and the peer has not closed.
bool
IsQuiet(tcp::socket& aSocket)
{
  boost::system::error_code error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

class Run final
  : public UpstreamRun
  , public std::enable_shared_from_this<Run>
{
public:
  Run(asio::io_context& aContext,
      const Clock& aClock,
      std::shared_ptr<Connections> aConnections,
      Call aCall)
    : m_clock(aClock)
    , m_connections(std::move(aConnections))
    , m_call(std::move(aCall))
    , m_connection{ tcp::socket(aContext), {} }
    , m_deadline(aContext)
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
    m_deadline.expires_after(std::max(m_call.m_timeRemaining, Duration(0)));
    m_deadline.async_wait([weak = weak_from_this()](const auto& aError) {
      const auto run = weak.lock();
      if (!aError && run) {
        run->Abort();
      }
    });
    Answer answer = co_await Exchange();
    m_deadline.cancel();
    answer.m_id = m_call.m_id;
    answer.m_serviceTime = m_clock.Now() - start;
    aDone(std::move(answer));
  }

private:
  asio::awaitable<Answer> Exchange()
  {
    Answer answer;
    if (!co_await Connect()) {
      answer.m_outcome = CallOutcome::NotRun;
      answer.m_refusal = RefusalReason::UpstreamGone;
      co_return answer;
    }
    const auto request = RequestOf(m_call, m_connections->m_address);
    const auto [writeError, sent] =
      co_await http::async_write(m_connection.m_socket, request, kAwait);
    if (writeError) {
      co_return answer;
    }
    boost::beast::flat_buffer& buffer = m_connection.m_buffer;
    buffer.reserve(kReadBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    parser.skip(m_call.m_http.m_method == "HEAD");
    const auto [readError, received] =
      co_await http::async_read(m_connection.m_socket, buffer, parser, kAwait);
    if (readError || m_isAborted) {
      co_return answer;
    }
    Keep(parser.get().keep_alive() && buffer.size() == 0);
    Fill(answer, parser.release());
    co_return answer;
  }

  asio::awaitable<bool> Connect()
  {
    while (!m_connections->m_idle.empty()) {
      Connection connection = std::move(m_connections->m_idle.back());
      m_connections->m_idle.pop_back();
      if (IsQuiet(connection.m_socket)) {
        m_connection = std::move(connection);
        co_return true;
      }
    }
    if (m_isAborted) {
      co_return false;
    }
    const auto endpoint = EndpointOf<tcp>(m_connections->m_address);
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

  static void Fill(Answer& aAnswer,
                   http::response<http::string_body>&& aResponse)
  {
    aAnswer.m_http.m_status =
      static_cast<std::uint16_t>(aResponse.result_int());
    const bool wasShed = aAnswer.m_http.m_status == kServiceUnavailable &&
                         aResponse["x-not-run"] == "1";
    aAnswer.m_outcome = wasShed ? CallOutcome::NotRun : CallOutcome::Done;
    aAnswer.m_refusal =
      wasShed ? RefusalReason::QueueFull : RefusalReason::None;
    aAnswer.m_http.m_headers = EndToEndHeaders(aResponse);
    aAnswer.m_http.m_body = std::move(aResponse.body());
  }

  const Clock& m_clock;
  std::shared_ptr<Connections> m_connections;
  Call m_call;
  Connection m_connection;
  asio::steady_timer m_deadline;
  bool m_isAborted = false;
};

class HttpUpstreamPool final : public UpstreamPool
{
public:
  HttpUpstreamPool(asio::io_context& aContext, const Clock& aClock)
    : m_context(aContext)
    , m_clock(aClock)
    , m_connections(std::make_shared<Connections>())
  {
  }

  void SetAddress(const NetworkAddress& aAddress) override
  {
    if (m_connections->m_address != aAddress) {
      m_connections = std::make_shared<Connections>();
      m_connections->m_address = aAddress;
    }
  }

  std::shared_ptr<UpstreamRun> Start(Call aCall, Done aDone) override
  {
    auto run = std::make_shared<Run>(
      m_context, m_clock, m_connections, std::move(aCall));
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
  std::shared_ptr<Connections> m_connections;
};

} // namespace

std::unique_ptr<UpstreamPool>
UpstreamPool::Create(asio::io_context& aContext, const Clock& aClock)
{
  return std::make_unique<HttpUpstreamPool>(aContext, aClock);
}

} // namespace tarragontray
