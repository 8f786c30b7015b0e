#include "connection/Sockets.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <netinet/tcp.h>

namespace tarragontray {

namespace asio = boost::asio;

namespace {

using ReusePort =
  asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Seconds without traffic before the first keep-alive probe, and between
/// probes.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// Milliseconds within which the peer must acknowledge sent data.
constexpr int kUserTimeoutMs = 2000;

} // namespace

asio::awaitable<asio::ip::tcp::socket>
Accept(asio::ip::tcp::acceptor& aAcceptor)
{
  constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
  auto [error, socket] = co_await aAcceptor.async_accept(kAwait);
  if (error && aAcceptor.is_open()) {
    asio::steady_timer delay(aAcceptor.get_executor(), kAcceptRetryDelay);
    co_await delay.async_wait(kAwait);
  }
  co_return std::move(socket);
}

void
EnableDeadPeerDetection(asio::ip::tcp::socket& aSocket)
{
  using KeepIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepCount =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(KeepIdle(kKeepAliveSeconds), ignored);
  aSocket.set_option(KeepInterval(kKeepAliveSeconds), ignored);
  aSocket.set_option(KeepCount(kKeepAliveProbes), ignored);
  aSocket.set_option(UserTimeout(kUserTimeoutMs), ignored);
}

Result<void>
Listen(asio::ip::tcp::acceptor& aAcceptor, const ListenOptions& aOptions)
{
  const auto endpoint = EndpointOf<asio::ip::tcp>(aOptions.m_address);
  boost::system::error_code error;
  aAcceptor.open(endpoint.protocol(), error);
  aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (aOptions.m_sharesPort) {
    aAcceptor.set_option(ReusePort(true), error);
  }
  aAcceptor.bind(endpoint, error);
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error(ErrorCode::Unavailable,
                 aOptions.m_step,
                 aOptions.m_address.ToString(),
                 error.message());
  }
  return Success();
}

} // namespace tarragontray
