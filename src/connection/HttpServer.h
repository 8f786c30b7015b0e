/// \file
/// HTTP/1.1 sessions of callers and operators.
///
///     auto server = HttpServer::Create(context, settings, handler);
///     if (!server) { return server.error(); }
///     ...
///     server.value()->Leave();   // answers say "connection: close"
///     server.value()->Drain();   // closes idle sessions, accepts no more
///
/// A request is read whole before the handler sees it; its answer leaves in
/// one write. Garbled or oversized requests are answered with 400, 413 or 431
/// and the session is closed.
///
/// Thread safety: one thread, that of the io_context.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Bounds of a server.
struct HttpServerSettings
{
  NetworkAddress m_address;
  std::size_t m_maxSessions = 4096;
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  std::uint64_t m_maxBodyBytes = 1U << 20U;
  /// A session that neither sends nor takes anything for this long is closed.
  Duration m_idleLimit{ std::chrono::seconds(60) };
  /// From the first byte of a request to its last one.
  Duration m_requestLimit{ std::chrono::seconds(60) };
  /// Requests of one session that are served at once; answers keep the order
  /// of the requests.
  std::size_t m_maxPipelined = 16;
  /// Several servers of one process may share the address.
  bool m_sharesPort = false;
  /// Called around each request, from its last byte read (from Drain on: its
  /// first) to its answer's last byte written or lost; optional.
  std::function<void()> m_onBegin = nullptr;
  std::function<void()> m_onEnd = nullptr;
};

/// Counts since the start.
struct HttpServerCounters
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_badRequests = 0;
  /// Requests whose caller closed the connection before the answer.
  std::uint64_t m_abandoned = 0;
  /// Sessions that were turned away at m_maxSessions.
  std::uint64_t m_refusedSessions = 0;
};

/// The part of the bounds that may change while a server runs.
struct HttpServerLimits
{
  std::uint32_t m_maxHeaderBytes = 0;
  std::uint64_t m_maxBodyBytes = 0;
  Duration m_idleLimit{ 0 };
  Duration m_requestLimit{ 0 };

  bool operator==(const HttpServerLimits&) const = default;
};

/// Answers one request. Header names come in lower case. A caller that closes
/// its connection cancels the handler (cancellation type terminal); what it
/// answers after that is dropped.
using HttpHandler =
  std::function<boost::asio::awaitable<HttpAnswerParts>(HttpRequestParts)>;

/// See the file comment.
class HttpServer
{
public:
  virtual ~HttpServer() = default;

  /// Listens at once. Errors: Unavailable with step "http.listen".
  /// \param aContext must outlive all sessions.
  static Result<std::shared_ptr<HttpServer>> Create(
    boost::asio::io_context& aContext,
    const HttpServerSettings& aSettings,
    HttpHandler aHandler);

  /// The address in use; the port is known even where 0 was asked for.
  virtual NetworkAddress Address() const = 0;
  /// For requests that are read from now on.
  virtual void SetLimits(const HttpServerLimits& aLimits) = 0;
  /// From now on each answer ends its session; idle sessions stay.
  virtual void Leave() = 0;
  /// Accepts no more sessions, closes idle ones; the others end after the
  /// request that is being read or served.
  virtual void Drain() = 0;
  virtual const HttpServerCounters& Counters() const = 0;
};

} // namespace tarragontray
