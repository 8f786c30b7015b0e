/// \file
/// Address conversion, listening sockets and keep-alive for Asio.
///
///     boost::asio::ip::tcp::acceptor acceptor(context);
///     Result<void> result =
///       Listen(acceptor, { .m_address = address, .m_step = "http.listen" });
///
/// Thread safety: pure functions; Listen on the acceptor's thread.
#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// The endpoint of an address, for tcp or udp.
template<typename Protocol>
typename Protocol::endpoint
EndpointOf(const NetworkAddress& aAddress)
{
  return { boost::asio::ip::address_v4(aAddress.Ip()), aAddress.Port() };
}

/// The address of an IPv4 endpoint.
template<typename Endpoint>
NetworkAddress
AddressOf(const Endpoint& aEndpoint)
{
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

/// Options of Listen.
struct ListenOptions
{
  NetworkAddress m_address;
  /// Step of the error.
  std::string m_step;
  /// Whether several sockets of this process may listen on the address.
  bool m_sharesPort = false;
};

/// Delay of an accept loop after an error, for example when the process has no
/// free file descriptor.
inline constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

/// Accepts the next connection. On an error waits for kAcceptRetryDelay and
/// returns a socket that is not open.
boost::asio::awaitable<boost::asio::ip::tcp::socket>
Accept(boost::asio::ip::tcp::acceptor& aAcceptor);

/// Sets keep-alive probes and the TCP user timeout, so that the system closes a
/// connection within some seconds after the peer has stopped responding.
void
EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket);

/// Opens, binds and listens. Errors: Unavailable.
/// Precondition: the acceptor is not open.
Result<void>
Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
       const ListenOptions& aOptions);

} // namespace tarragontray
