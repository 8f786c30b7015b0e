/// \file
/// One caller's connection at a server: reads requests ahead, serves them at
/// once and writes their answers in order.
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

/// What the sessions of one server share.
struct HttpServerState
{
  HttpServerSettings m_settings;
  HttpHandler m_handler;
  bool m_isLeaving = false;
  bool m_isDraining = false;
  HttpServerCounters m_counters;
};

class HttpSession
{
public:
  static std::shared_ptr<HttpSession> Create(
    boost::asio::ip::tcp::socket aSocket,
    std::shared_ptr<HttpServerState> aState);

  virtual ~HttpSession() = default;

  /// Reads and serves until the session ends; keeps it alive meanwhile.
  virtual boost::asio::awaitable<void> Run() = 0;
  /// From now on no request begins; one that has begun is read and served.
  virtual void Drain() = 0;
};

} // namespace tarragontray
