/// \file
/// A group of misbehaving HTTP clients, for tests against a real process.
///
///     ClientGroup group(address, behaviour, 300);
///     group.Run(std::chrono::seconds(3));
///     ... check the process while the connections are open ...
///
/// Thread safety: one thread.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/NetworkAddress.h"
#include "base/Units.h"

namespace tarragontray {

/// What each client of a group sends. It leaves its connection open afterwards.
struct ClientBehaviour
{
  const char* m_name = "";
  /// Sent first.
  std::string m_begin{};
  /// Sent m_repeats times after m_begin.
  std::string m_piece{};
  std::size_t m_repeats = 0;
  /// Wait before each m_piece.
  Duration m_pause{ 0 };
};

/// The connections of a group; closed by the destructor.
class ClientGroup
{
public:
  /// \param aBehaviour must outlive the group.
  ClientGroup(const NetworkAddress& aAddress,
              const ClientBehaviour& aBehaviour,
              std::size_t aSize);

  /// Connects and sends until all clients have sent everything or have lost
  /// their connections, at most for aLimit. Reads nothing.
  void Run(Duration aLimit);

private:
  boost::asio::awaitable<void> Send(boost::asio::ip::tcp::socket& aSocket);

  const ClientBehaviour& m_behaviour;
  boost::asio::ip::tcp::endpoint m_endpoint;
  boost::asio::io_context m_context{ 1 };
  std::deque<boost::asio::ip::tcp::socket> m_sockets;
  std::size_t m_sending = 0;
};

} // namespace tarragontray
