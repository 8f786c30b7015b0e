/// \file
/// Addresses and listening sockets for Asio.
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

struct ListenOptions
{
  NetworkAddress m_address;
  /// Where an error is said to arise.
  std::string m_step;
  /// Several sockets of this process may share the address.
  bool m_sharesPort = false;
};

/// How long an accept loop rests after an error, for example when the process
/// is out of file descriptors.
inline constexpr Duration kAcceptRest = std::chrono::milliseconds(100);

/// The next connection; on an error rests for kAcceptRest and gives a socket
/// that is not open.
boost::asio::awaitable<boost::asio::ip::tcp::socket>
Accept(boost::asio::ip::tcp::acceptor& aAcceptor);

/// Has the system find out within some seconds that a connection that carries
/// nothing, or nothing that is acknowledged, has gone silent.
void
WatchForSilence(boost::asio::ip::tcp::socket& aSocket);

/// Binds and listens. Errors: Unavailable.
/// Precondition: the acceptor is not open.
Result<void>
Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
       const ListenOptions& aOptions);

} // namespace tarragontray
