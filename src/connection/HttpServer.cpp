#include "connection/HttpServer.h"

#include <list>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "connection/HttpFields.h"
#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// What one read may take; Beast reads no more than the buffer's capacity.
constexpr std::size_t kReadBytes = 8U << 10U;
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

http::response<http::string_body>
ResponseOf(HttpAnswerParts&& aAnswer, bool aKeepAlive, bool aIsHead)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(aAnswer.m_status);
  for (const HttpHeader& header : aAnswer.m_headers) {
    response.insert(header.m_name, header.m_value);
  }
  response.keep_alive(aKeepAlive);
  response.content_length(aAnswer.m_body.size());
  if (!aIsHead) {
    response.body() = std::move(aAnswer.m_body);
  }
  return response;
}

/// The status for a request that could not be read; 0: say nothing.
std::uint16_t
StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit) {
    return 431;
  }
  const bool isGarbled =
    aError.category() == make_error_code(http::error::bad_version).category();
  return isGarbled && aError != http::error::end_of_stream &&
             aError != http::error::partial_message
           ? 400
           : 0;
}

/// One caller's connection.
struct Session
{
  explicit Session(tcp::socket aSocket)
    : m_stream(std::move(aSocket))
  {
  }

  beast::tcp_stream m_stream;
  /// The request that is being read; null while one is served.
  const Parser* m_reading = nullptr;
  /// Between m_onBegin and m_onEnd.
  bool m_isCounted = false;
};

class BeastServer final
  : public HttpServer
  , public std::enable_shared_from_this<BeastServer>
{
public:
  BeastServer(asio::io_context& aContext,
              const HttpServerSettings& aSettings,
              HttpHandler aHandler)
    : m_context(aContext)
    , m_settings(aSettings)
    , m_handler(std::move(aHandler))
    , m_acceptor(aContext)
  {
  }

  Result<void> Listen()
  {
    return tarragontray::Listen(m_acceptor,
                                { .m_address = m_settings.m_address,
                                  .m_step = "http.listen",
                                  .m_sharesPort = m_settings.m_sharesPort });
  }

  void Start()
  {
    asio::co_spawn(
      m_context,
      [self = shared_from_this()] { return self->AcceptLoop(); },
      asio::detached);
  }

  NetworkAddress Address() const override
  {
    boost::system::error_code ignored;
    const tcp::endpoint endpoint = m_acceptor.local_endpoint(ignored);
    return NetworkAddress(m_settings.m_address.Ip(), endpoint.port());
  }

  void Leave() override { m_isLeaving = true; }

  void Drain() override
  {
    m_isLeaving = true;
    m_isDraining = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& session : m_sessions) {
      const Parser* reading = session->m_reading;
      if (reading == nullptr) {
        continue;
      }
      if (reading->got_some()) {
        Begin(*session);
      } else {
        session->m_stream.close();
      }
    }
  }

  const HttpServerCounters& Counters() const override { return m_counters; }

private:
  using SessionList = std::list<std::shared_ptr<Session>>;

  asio::awaitable<void> AcceptLoop()
  {
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
      tcp::socket socket = co_await Accept(m_acceptor);
      if (!socket.is_open()) {
        continue;
      }
      if (m_sessions.size() >= m_settings.m_maxSessions) {
        ++m_counters.m_refusedSessions;
        continue;
      }
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      m_sessions.push_back(std::make_shared<Session>(std::move(socket)));
      asio::co_spawn(
        m_context,
        [self, place = std::prev(m_sessions.end())] {
          return self->Serve(place);
        },
        asio::detached);
    }
  }

  asio::awaitable<void> Serve(SessionList::iterator aPlace)
  {
    const auto self = shared_from_this();
    const std::shared_ptr<Session> session = *aPlace;
    beast::flat_buffer buffer;
    buffer.reserve(kReadBytes);
    bool goesOn = true;
    while (goesOn && !m_isDraining) {
      goesOn = co_await ServeOne(*session, buffer);
    }
    session->m_stream.close();
    m_sessions.erase(aPlace);
  }

  /// Serves one request; false when the session is over.
  asio::awaitable<bool> ServeOne(Session& aSession, beast::flat_buffer& aBuffer)
  {
    Parser parser;
    parser.header_limit(m_settings.m_maxHeaderBytes);
    parser.body_limit(m_settings.m_maxBodyBytes);
    aSession.m_stream.expires_after(m_settings.m_idleLimit);
    aSession.m_reading = &parser;
    const auto [error, size] =
      co_await http::async_read(aSession.m_stream, aBuffer, parser, kAwait);
    aSession.m_reading = nullptr;
    if (error) {
      co_await RefuseGarbled(aSession, error);
      End(aSession);
      co_return false;
    }
    ++m_counters.m_requests;
    Begin(aSession);
    aSession.m_stream.expires_never();
    const bool keepAlive = parser.get().keep_alive();
    const bool isHead = parser.get().method() == http::verb::head;
    HttpAnswerParts answer = co_await m_handler(PartsOf(parser.release()));
    const bool goesOn = keepAlive && !m_isLeaving;
    const bool written =
      co_await Write(aSession, ResponseOf(std::move(answer), goesOn, isHead));
    End(aSession);
    co_return goesOn&& written;
  }

  void Begin(Session& aSession) const
  {
    if (!aSession.m_isCounted && m_settings.m_onBegin) {
      m_settings.m_onBegin();
    }
    aSession.m_isCounted = true;
  }

  void End(Session& aSession) const
  {
    if (aSession.m_isCounted && m_settings.m_onEnd) {
      m_settings.m_onEnd();
    }
    aSession.m_isCounted = false;
  }

  asio::awaitable<void> RefuseGarbled(Session& aSession,
                                      boost::system::error_code aError)
  {
    const std::uint16_t status = StatusOf(aError);
    if (status != 0) {
      ++m_counters.m_badRequests;
      co_await Write(
        aSession,
        ResponseOf(TextAnswer(status, aError.message() + "\n"), false, false));
    }
  }

  asio::awaitable<bool> Write(Session& aSession,
                              http::response<http::string_body> aResponse)
  {
    aSession.m_stream.expires_after(m_settings.m_idleLimit);
    const auto [error, size] =
      co_await http::async_write(aSession.m_stream, aResponse, kAwait);
    co_return !error;
  }

  asio::io_context& m_context;
  HttpServerSettings m_settings;
  HttpHandler m_handler;
  tcp::acceptor m_acceptor;
  SessionList m_sessions;
  bool m_isLeaving = false;
  bool m_isDraining = false;
  HttpServerCounters m_counters;
};

} // namespace

Result<std::shared_ptr<HttpServer>>
HttpServer::Create(asio::io_context& aContext,
                   const HttpServerSettings& aSettings,
                   HttpHandler aHandler)
{
  auto server =
    std::make_shared<BeastServer>(aContext, aSettings, std::move(aHandler));
  BOOST_OUTCOME_TRY(server->Listen());
  server->Start();
  return std::shared_ptr<HttpServer>(std::move(server));
}

HttpAnswerParts
TextAnswer(std::uint16_t aStatus, std::string aBody, std::string aContentType)
{
  HttpAnswerParts answer;
  answer.m_status = aStatus;
  answer.m_headers.push_back({ "content-type", std::move(aContentType) });
  answer.m_body = std::move(aBody);
  return answer;
}

} // namespace tarragontray
