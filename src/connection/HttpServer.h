/// \file
/// HTTP/1.1 server for callers and operators.
///
///     auto server = HttpServer::Create(context, settings, handler);
///     if (!server) { return server.error(); }
///     ...
///     server.value()->Leave();   // answers carry "connection: close"
///     server.value()->Drain();   // closes idle sessions, accepts no more
///
/// A request is read completely before the handler is called. Malformed or
/// oversized requests are answered with 400, 413 or 431, and the session is
/// closed. What all sessions hold is bounded by a CallerBudget: requests that
/// don't fit are answered with 503 and have not been run, and sessions that
/// hold much without progress are closed.
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
#include "process/CallerBudget.h"
#include "request/HttpDialect.h"

namespace tarragontray {

/// Address, bounds and hooks of a server.
struct HttpServerSettings
{
  NetworkAddress m_address;
  /// The bounds of all sessions together.
  CallerBudgetSettings m_budget;
  std::uint32_t m_maxHeaderBytes = 16U << 10U;
  std::uint64_t m_maxBodyBytes = 1U << 20U;
  /// As many as fit into a header of 16 KiB.
  std::size_t m_maxHeaderFields = 4096;
  /// Time after which a session is closed when no byte has been read or written
  /// and no answer is awaited.
  Duration m_idleLimit{ std::chrono::seconds(60) };
  /// Time limit for reading the head of a request, from its first byte. A body
  /// may take as much again as it takes at the least rate.
  Duration m_requestLimit{ std::chrono::seconds(60) };
  /// Maximum number of requests of one session that are served concurrently;
  /// their answers are written in the order of the requests.
  std::size_t m_maxPipelined = 16;
  /// A session that holds more for requests and answers reads no third request
  /// before an answer is written.
  std::size_t m_maxPipelinedBytes = 256U << 10U;
  /// Whether several servers of this process may listen on the address.
  bool m_sharesPort = false;
  /// Optional hooks for each request. m_onBegin is called when the last byte of
  /// the request was read (after Drain: the first), m_onEnd when the last byte
  /// of its answer was written or lost.
  std::function<void()> m_onBegin = nullptr;
  std::function<void()> m_onEnd = nullptr;
  /// Optional. Called once after Drain, when the last session has ended; may be
  /// called within Drain.
  std::function<void()> m_onDrained = nullptr;
  /// Counts what is limited; may be shared by servers. Null: not counted.
  std::shared_ptr<CallerLimitCounters> m_counters = nullptr;
  /// Optional. Called when a limit of m_counters acts, at most every 10 s.
  std::function<void(const CallerLimitCounters&)> m_onLimited = nullptr;
};

/// Counters since the server was created.
struct HttpServerCounters
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_badRequests = 0;
  /// Requests whose caller closed the connection before the answer.
  std::uint64_t m_abandoned = 0;
  /// Connections closed at once because too many were open.
  std::uint64_t m_refusedSessions = 0;
};

/// The bounds that can change while a server runs.
struct HttpServerLimits
{
  std::uint32_t m_maxHeaderBytes = 0;
  std::uint64_t m_maxBodyBytes = 0;
  Duration m_idleLimit{ 0 };
  Duration m_requestLimit{ 0 };

  bool operator==(const HttpServerLimits&) const = default;
};

/// Answers one request. Header names are in lower case. When the caller closes
/// its connection, the handler is cancelled (cancellation type terminal) and
/// its answer is dropped.
using HttpHandler =
  std::function<boost::asio::awaitable<HttpAnswerParts>(HttpRequestParts)>;

/// See the file comment.
class HttpServer
{
public:
  virtual ~HttpServer() = default;

  /// Starts to listen. Errors: Unavailable with step "http.listen".
  /// \param aContext must outlive all sessions.
  static Result<std::shared_ptr<HttpServer>> Create(
    boost::asio::io_context& aContext,
    const HttpServerSettings& aSettings,
    HttpHandler aHandler);

  /// The listening address, with the actual port if port 0 was requested.
  virtual NetworkAddress Address() const = 0;
  /// Sets the limits of requests that are read from now on.
  virtual void SetLimits(const HttpServerLimits& aLimits) = 0;
  /// From now on an answer ends its session; idle sessions stay open.
  virtual void Leave() = 0;
  /// Stops accepting sessions and closes the idle ones. Each other session ends
  /// after the requests that are being read or served, and after those that
  /// have arrived but were not read yet.
  virtual void Drain() = 0;
  virtual std::size_t OpenSessions() const = 0;
  virtual const HttpServerCounters& Counters() const = 0;
};

} // namespace tarragontray
