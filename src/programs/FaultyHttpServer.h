/// \file
/// HTTP/1.1 server with fault injection for the stand-in programs: a handler
/// can delay an answer, truncate it, close the connection without an answer, or
/// leave the request unanswered.
///
///     auto server = FaultyHttpServer::Listen(
///       context,
///       { .m_address = address },
///       [](FaultyHttpServer::Exchange aExchange) {
///         aExchange->AnswerCut({ 200, {}, "content" }, 3);
///       });
///
/// Nodes use connection/HttpServer.h instead, which injects no faults. A
/// connection carries one request at a time. A malformed request is answered
/// with 400, and one whose head or body exceeds its limit with 413; the
/// connection is then closed.
///
/// Thread safety: not thread-safe; use it only on the thread that runs the
/// io_context.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "request/Call.h"

namespace boost::asio {
class io_context;
}

namespace tarragontray {

/// Listening address and limits of a FaultyHttpServer.
struct FaultyServerSettings
{
  /// Port 0 lets the system choose a free port.
  NetworkAddress m_address;
  ByteCount m_maxBody{ 2U << 20U };
  /// A connection is closed after this time without a complete request.
  Duration m_idleTimeout{ std::chrono::seconds(120) };
  /// Connections accepted beyond this limit are closed immediately.
  std::size_t m_maxConnections = 4096;
};

/// One request and its answer. The first call of Answer, AnswerCut or Drop
/// finishes the exchange; later calls have no effect. An exchange that is never
/// finished leaves the request unanswered until the connection closes.
class FaultyExchange
{
public:
  virtual ~FaultyExchange() = default;

  virtual const HttpRequestParts& Request() const = 0;
  /// Sends the complete answer.
  virtual void Answer(HttpAnswerParts aAnswer) = 0;
  /// Sends the head with the full content length but only the first aBytes of
  /// the body, then closes the connection.
  virtual void AnswerCut(HttpAnswerParts aAnswer, std::size_t aBytes) = 0;
  /// Closes the connection without an answer.
  virtual void Drop() = 0;
  /// Calls aClosed if the peer closes the connection before the exchange is
  /// finished.
  virtual void OnClosed(std::function<void()> aClosed) = 0;
  /// Whether the exchange is unfinished and its connection open.
  virtual bool IsOpen() const = 0;
};

/// See the file comment.
class FaultyHttpServer
{
public:
  using Exchange = std::shared_ptr<FaultyExchange>;
  using Handler = std::function<void(Exchange)>;

  /// Starts to listen immediately. Errors: Unreachable when the address can't
  /// be bound.
  /// Precondition: aContext outlives the server.
  static Result<std::unique_ptr<FaultyHttpServer>> Listen(
    boost::asio::io_context& aContext,
    FaultyServerSettings aSettings,
    Handler aHandler);
  /// Closes the listening socket and every connection.
  ~FaultyHttpServer();
  FaultyHttpServer(const FaultyHttpServer&) = delete;
  FaultyHttpServer& operator=(const FaultyHttpServer&) = delete;

  /// The listening address with the port actually bound.
  NetworkAddress Address() const;
  /// Stops accepting connections; open connections continue.
  void StopListening();
  std::size_t ConnectionCount() const;

private:
  class State;
  explicit FaultyHttpServer(std::shared_ptr<State> aState);

  std::shared_ptr<State> m_state;
};

} // namespace tarragontray
