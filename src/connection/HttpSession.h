/// \file
/// One connection of an HTTP server: reads pipelined requests, serves them
/// concurrently and writes their answers in the order of the requests.
///
///     auto session = HttpSession::Create(std::move(socket), state);
///     co_await session->Run();
///
/// Thread safety: one thread, that of the socket's io_context.
#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "connection/HttpServer.h"

namespace tarragontray {

/// State shared by the sessions of one server.
struct HttpServerState
{
  HttpServerSettings m_settings;
  HttpHandler m_handler;
  bool m_isLeaving = false;
  bool m_isDraining = false;
  HttpServerCounters m_counters;
};

/// See the file comment.
class HttpSession
{
public:
  static std::shared_ptr<HttpSession> Create(
    boost::asio::ip::tcp::socket aSocket,
    std::shared_ptr<HttpServerState> aState);

  virtual ~HttpSession() = default;

  /// Reads and serves requests until the session ends, and keeps it alive.
  virtual boost::asio::awaitable<void> Run() = 0;
  /// Starts no further request; one of which a byte was read is still served.
  virtual void Drain() = 0;
};

} // namespace tarragontray
