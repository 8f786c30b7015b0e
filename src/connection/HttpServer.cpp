#include "connection/HttpServer.h"

#include <iterator>
#include <list>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "connection/HttpSession.h"
#include "connection/Sockets.h"

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Size of each of a socket's two buffers; the kernel doubles it. Without it
/// the kernel keeps several megabytes for a caller that reads no answers, and a
/// session that writes to it seems to make progress. It holds what a link of
/// 200 Mbit/s carries in 5 ms.
constexpr int kSocketBufferBytes = 64 << 10;

using SessionList = std::list<std::shared_ptr<HttpSession>>;

class BeastServer final
  : public HttpServer
  , public std::enable_shared_from_this<BeastServer>
{
public:
  BeastServer(asio::io_context& aContext,
              const HttpServerSettings& aSettings,
              HttpHandler aHandler)
    : m_context(aContext)
    , m_state(std::make_shared<HttpServerState>(aSettings, std::move(aHandler)))
    , m_acceptor(aContext)
  {
  }

  Result<void> Listen()
  {
    return tarragontray::Listen(
      m_acceptor,
      { .m_address = m_state->m_settings.m_address,
        .m_step = "http.listen",
        .m_sharesPort = m_state->m_settings.m_sharesPort });
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
    return NetworkAddress(m_state->m_settings.m_address.Ip(), endpoint.port());
  }

  void SetLimits(const HttpServerLimits& aLimits) override
  {
    HttpServerSettings& settings = m_state->m_settings;
    settings.m_maxHeaderBytes = aLimits.m_maxHeaderBytes;
    settings.m_maxBodyBytes = aLimits.m_maxBodyBytes;
    settings.m_idleLimit = aLimits.m_idleLimit;
    settings.m_requestLimit = aLimits.m_requestLimit;
  }

  void Leave() override { m_state->m_isLeaving = true; }

  void Drain() override
  {
    m_state->m_isLeaving = true;
    m_state->m_isDraining = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& session : m_sessions) {
      session->Drain();
    }
    NotifyWhenDrained();
  }

  std::size_t OpenSessions() const override { return m_sessions.size(); }

  const HttpServerCounters& Counters() const override
  {
    return m_state->m_counters;
  }

private:
  asio::awaitable<void> AcceptLoop()
  {
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
      tcp::socket socket = co_await Accept(m_acceptor);
      if (!socket.is_open() || m_state->m_isDraining) {
        continue;
      }
      const std::optional<CallerSession> number = m_state->Open();
      if (!number) {
        ++m_state->m_counters.m_refusedSessions;
        continue;
      }
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                        ignored);
      socket.set_option(
        asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
      m_sessions.push_back(
        HttpSession::Create(std::move(socket), *number, m_state));
      asio::co_spawn(
        m_context,
        [self, position = std::prev(m_sessions.end())] {
          return self->Serve(position);
        },
        asio::detached);
    }
  }

  asio::awaitable<void> Serve(SessionList::iterator aPosition)
  {
    const auto self = shared_from_this();
    const std::shared_ptr<HttpSession> session = *aPosition;
    co_await session->Run();
    m_sessions.erase(aPosition);
    NotifyWhenDrained();
  }

  void NotifyWhenDrained()
  {
    if (m_state->m_isDraining && m_sessions.empty() &&
        m_state->m_settings.m_onDrained) {
      std::exchange(m_state->m_settings.m_onDrained, nullptr)();
    }
  }

  asio::io_context& m_context;
  std::shared_ptr<HttpServerState> m_state;
  SessionList m_sessions;
  tcp::acceptor m_acceptor;
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

} // namespace tarragontray
